package localsite

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
)

const (
	// inForcePoll is the polling interval, which is the resolution of the
	// measurement.
	inForcePoll = time.Millisecond
	// shortRetention is the log's retention, just above the minimum.
	shortRetention = 12 * time.Second
	// outageLength is the length of the log's outage before each publish.
	outageLength = time.Second
)

// BenchmarkConfigurationInForce measures the time from the start of a publish until
// all entry VMs serve by it.
func BenchmarkConfigurationInForce(b *testing.B) {
	b.Run("normal", func(b *testing.B) { inForce(b, func(*Site, *benchProxies) {}) })
	b.Run("after an outage of the log", func(b *testing.B) {
		inForce(b, func(s *Site, _ *benchProxies) {
			s.Platform.Log.SetFaults(logstore.Faults{Outage: true})
			time.Sleep(outageLength)
			s.Platform.Log.SetFaults(logstore.Faults{})
		})
	})
	b.Run("one zone cut from the log", func(b *testing.B) {
		inForce(b, func(_ *Site, proxies *benchProxies) { proxies.log["entry-b"].partitioned.Store(true) })
	})
	b.Run("retention passed", func(b *testing.B) {
		inForce(b, func(*Site, *benchProxies) { time.Sleep(shortRetention + time.Second) })
	})
	b.Run("all VMs of one zone replaced", func(b *testing.B) {
		inForce(b, func(s *Site, _ *benchProxies) {
			if err := s.StopVM(context.Background(), "entry-b"); err != nil {
				b.Fatal(err)
			}
			if err := s.StartVM(context.Background(), "entry-b"); err != nil {
				b.Fatal(err)
			}
		})
	})
}

// benchProxies holds the proxies between entry VMs and the log, by VM.
type benchProxies struct{ log map[string]*recordingProxy }

// inForce publishes b.N times, each after prepare.
func inForce(b *testing.B, prepare func(*Site, *benchProxies)) {
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	if err != nil {
		b.Fatal(err)
	}
	bundle.Fleet.Times.BalancerLag = 0
	bundle.Fleet.Times.LogRetention = configuration.Duration(shortRetention)
	bundle.Fleet.Times.KeyWindow = configuration.Duration(time.Second)
	bundle.Fleet.Times.ClockSkew = 0
	proxies := &benchProxies{log: make(map[string]*recordingProxy)}
	site, err := Start(context.Background(), Options{Bundle: bundle, RewriteAddress: func(name, address string) string {
		vm, found := strings.CutSuffix(name, "/log")
		if !found {
			return address
		}
		if proxies.log[vm] == nil {
			proxies.log[vm] = newRecordingProxy(b, name, address)
		}
		return proxies.log[vm].addr()
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = site.Close(context.Background()) }()
	var latencies []time.Duration
	for i := range b.N {
		prepare(site, proxies)
		changed := site.Bundle
		changed.Teams = slices.Clone(site.Bundle.Teams)
		changed.Teams[0].Share = float64(i + 2)
		latencies = append(latencies, publishAndAwait(b, site, changed, uint64(i+2)))
	}
	report(b, latencies)
}

// publishAndAwait publishes a configuration and returns the time until all entry
// VMs serve by a version.
func publishAndAwait(b *testing.B, site *Site, bundle configuration.Bundle, version uint64) time.Duration {
	started := time.Now()
	if err := site.Publish(context.Background(), bundle); err != nil {
		b.Fatal(err)
	}
	for _, vm := range site.VMs {
		for vm.Version("team/quickstart") < version {
			time.Sleep(inForcePoll)
		}
	}
	return time.Since(started)
}

// report reports the quantiles of durations in milliseconds.
func report(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	at := func(share float64) float64 {
		return float64(latencies[int(share*float64(len(latencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}
