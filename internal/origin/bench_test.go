package origin

import (
	"context"
	"expvar"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// noPeers are Peers that take all records.
type noPeers struct{}

func (noPeers) Replicate(context.Context, membership.Member, []Copy) error { return nil }
func (noPeers) Archive(context.Context, membership.Member, []Copy) error   { return nil }
func (noPeers) Lookup(context.Context, membership.Member, string) (Copy, bool, error) {
	return Copy{}, false, nil
}

// largeFleet returns the members of a fleet of 400 VMs in 7 zones.
func largeFleet() membership.Static {
	var all []membership.Member
	for n := range 400 {
		name := fmt.Sprintf("front-bayern-a-%03d", n)
		all = append(all, membership.Member{VM: name, Zone: fmt.Sprint("zone-", n%7), Address: name, Incarnation: 1, State: membership.Alive})
	}
	return membership.Static{This: all[0], All: all}
}

func benchService(b *testing.B) *Service {
	log := decisionlog.Discard()
	b.Cleanup(log.Close)
	return New(Params{View: largeFleet(), Peers: noPeers{}, Log: log, Clock: time.Now})
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory measures the memory of a full table of held records, and of streams
// that run here with their copies.
func BenchmarkMemory(b *testing.B) {
	id := func(n int) string { return fmt.Sprintf("%016x", n) }
	b.Run("held", func(b *testing.B) {
		for b.Loop() {
			service := benchService(b)
			before := heap()
			for n := range maxHeld {
				service.Accept([]Copy{{Origin: Origin{Stream: id(n), Service: "writer", Build: "v1", Revision: 1}}})
			}
			b.ReportMetric(float64(heap()-before)/maxHeld, "B/record")
			assert.Equal(b, service.Size(), maxHeld)
		}
	})
	b.Run("running", func(b *testing.B) {
		for b.Loop() {
			service := benchService(b)
			before := heap()
			for n := range maxOwn {
				service.Record(Origin{Stream: id(n), Service: "writer", Build: "v1", Revision: 1})
			}
			for service.pending() > 0 {
				service.dispatch(b.Context(), sendTimeout)
			}
			b.ReportMetric(float64(heap()-before)/maxOwn, "B/record")
			assert.Equal(b, service.Size(), maxOwn)
		}
	})
}

func (s *Service) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.due) + s.calls
}

// BenchmarkRecord measures the processor time of a stream at its VM, in a fleet of 400.
func BenchmarkRecord(b *testing.B) {
	service := benchService(b)
	n := 0
	for b.Loop() {
		n++
		stream := fmt.Sprintf("%016x", n)
		service.Record(Origin{Stream: stream, Service: "writer", Build: "v1", Revision: 1})
		service.dispatch(b.Context(), sendTimeout)
		service.End(stream, true)
	}
	service.running.Wait()
}

// BenchmarkFindOrder measures the processor time by which a search orders 400 members.
func BenchmarkFindOrder(b *testing.B) {
	fleet := largeFleet()
	for b.Loop() {
		searchOrder("c7e7b902b17b3151", fleet.This, fleet.All)
	}
}

// BenchmarkBytes measures the bytes of calls with records on an open connection, both
// directions together, without the headers of TCP and IP.
func BenchmarkBytes(b *testing.B) {
	for _, records := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			service := benchService(b)
			options := peer.Options{Listen: "127.0.0.1:0"}
			server, err := peer.NewServer(options, service.Handler())
			assert.NilError(b, err)
			assert.NilError(b, server.Start())
			dialer := peer.NewDialer(options)
			defer func() {
				dialer.Close()
				assert.NilError(b, server.Shutdown(context.Background()))
			}()
			to := membership.Member{VM: "vm-b", Address: server.Addr().String()}
			batch := make([]Copy, records)
			for i := range batch {
				batch[i] = Copy{Origin: Origin{Stream: fmt.Sprintf("%016x", i+1<<60), Service: "repertoire-check", Build: "v1.2", Revision: 1}}
			}
			peers := NewPeers(dialer)
			assert.NilError(b, peers.Replicate(b.Context(), to, batch))
			before, calls := traffic(dialer.Vars()), 0
			for b.Loop() {
				calls++
				assert.NilError(b, peers.Replicate(b.Context(), to, batch))
			}
			b.ReportMetric(float64(traffic(dialer.Vars())-before)/float64(calls), "B/call")
		})
	}
}

func traffic(vars *expvar.Map) int64 {
	sum := int64(0)
	for _, name := range []string{"bytes_sent", "bytes_received"} {
		sum += vars.Get(name).(expvar.Func)().(int64)
	}
	return sum
}
