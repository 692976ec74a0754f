package swim

import (
	"expvar"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/peer/peertest"
)

// BenchmarkTransport measures the cost of membership for each of a few processes
// on loopback: bytes on the wire, sent and received, and processor time. One
// iteration takes 10 s; run it with -benchtime 1x.
func BenchmarkTransport(b *testing.B) {
	for _, test := range []struct{ vms, zones int }{{2, 1}, {4, 2}, {6, 3}, {8, 4}} {
		for _, encrypted := range []bool{false, true} {
			b.Run(fmt.Sprintf("vms=%d/tls=%t", test.vms, encrypted), func(b *testing.B) {
				var authority *peertest.Authority
				if encrypted {
					authority = peertest.NewAuthority(b)
				}
				benchmarkTransport(b, authority, test.vms, test.zones)
			})
		}
	}
}

func benchmarkTransport(b *testing.B, authority *peertest.Authority, vms, zones int) {
	const warmUp, measured = 10 * time.Second, 10 * time.Second
	processes := []*process{startProcess(b, authority, "vm-0", "zone-0")}
	for i := 1; i < vms; i++ {
		vm, zone := fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%zones)
		processes = append(processes, startProcess(b, authority, vm, zone, processes[0].address()))
	}
	time.Sleep(warmUp)
	for _, p := range processes {
		assert.Equal(b, len(p.Members()), vms)
	}
	b.ResetTimer()
	for range b.N {
		bytes, processor := traffic(processes), processorTime(b)
		time.Sleep(measured)
		seconds := measured.Seconds() * float64(vms)
		b.ReportMetric(float64(traffic(processes)-bytes)/seconds, "B/s/VM")
		b.ReportMetric(100*(processorTime(b)-processor).Seconds()/seconds, "%core/VM")
	}
}

// traffic returns the bytes that processes sent and received.
func traffic(processes []*process) int64 {
	total := int64(0)
	for _, p := range processes {
		for _, vars := range []*expvar.Map{p.dialer.Vars(), p.server.Vars()} {
			for _, name := range []string{"bytes_sent", "bytes_received"} {
				total += vars.Get(name).(expvar.Func)().(int64)
			}
		}
	}
	return total
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkMachine measures the cost of the machine for each VM of a fleet of four
// zones, per simulated second: messages and their encoded bytes without the
// transport, sent and received, the processor time of the whole simulation, and
// memory. One iteration takes 20 simulated seconds; run it with -benchtime 1x.
func BenchmarkMachine(b *testing.B) {
	for _, vms := range []int{8, 40, 80, 400} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { benchmarkMachine(b, vms) })
	}
}

func benchmarkMachine(b *testing.B, vms int) {
	const measured = 20 * time.Second
	before := liveHeap()
	s := newFleet(1, vms, 4)
	s.populateViews()
	s.run(5 * time.Second)
	heap := float64(liveHeap()-before) / float64(vms)
	b.ResetTimer()
	for range b.N {
		for _, n := range s.nodes {
			n.bytes, n.messages = 0, 0
		}
		began := time.Now()
		s.run(measured)
		took := time.Since(began)
		s.report(b, measured.Seconds())
		b.ReportMetric(heap, "heapB/VM")
		b.ReportMetric(100*took.Seconds()/measured.Seconds()/float64(vms), "%core/VM")
	}
}

// report reports the mean over all VMs and the figures of the busiest VM.
func (s *sim) report(b *testing.B, seconds float64) {
	bytes, messages, busiest, most := 0, 0, 0, 0
	for _, n := range s.nodes {
		bytes += n.bytes
		messages += n.messages
		busiest = max(busiest, n.bytes)
		most = max(most, n.messages)
	}
	total := seconds * float64(len(s.nodes))
	b.ReportMetric(float64(bytes)/total, "B/s/VM")
	b.ReportMetric(float64(busiest)/seconds, "B/s/busiest")
	b.ReportMetric(float64(most)/seconds, "messages/s/busiest")
	b.ReportMetric(float64(messages)/total, "messages/s/VM")
}

// liveHeap returns the bytes of live heap objects.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
