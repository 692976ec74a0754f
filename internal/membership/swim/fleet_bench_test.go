package swim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchSeconds is the simulated time of one pass.
const benchSeconds = 10

// BenchmarkFleet reports the cost of one VM in a fleet of seven zones without
// faults: bytes and messages per second without HTTP headers, and the processor
// time of its machine including the simulated network.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{8, 80, 400} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			s := newFleet(1, vms, 7)
			s.populateViews()
			s.run(time.Second)
			for _, n := range s.nodes {
				n.bytes, n.messages = 0, 0
			}
			passes := 0
			for b.Loop() {
				s.run(benchSeconds * time.Second)
				passes++
			}
			s.reportCost(b, passes*benchSeconds)
		})
	}
}

// reportCost reports the average over all VMs and the bytes of the busiest VM.
func (s *sim) reportCost(b *testing.B, seconds int) {
	var bytes, messages, most int
	for _, n := range s.nodes {
		bytes += n.bytes
		messages += n.messages
		most = max(most, n.bytes)
	}
	vmSeconds := float64(len(s.nodes) * seconds)
	b.ReportMetric(float64(bytes)/vmSeconds, "B/s")
	b.ReportMetric(float64(most)/float64(seconds), "B/s-max")
	b.ReportMetric(float64(messages)/vmSeconds, "messages/s")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/vmSeconds, "µs/s")
}

// BenchmarkMemory reports the heap bytes of one VM per member.
func BenchmarkMemory(b *testing.B) {
	const vms = 400
	for b.Loop() {
		s := newFleet(1, vms, 7)
		before := liveHeap()
		s.populateViews()
		b.ReportMetric(float64(liveHeap()-before)/(vms*vms), "B/member")
		runtime.KeepAlive(s)
	}
}
