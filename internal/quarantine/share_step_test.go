package quarantine

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// countingPeers count calls, and hold those with facts until release is closed.
type countingPeers struct {
	mu      sync.Mutex
	calls   int
	release chan struct{}
}

func (p *countingPeers) Exchange(_ context.Context, _ membership.Member, m Message) (Message, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	if !m.Facts.Empty() {
		<-p.release
	}
	return Message{Digest: m.Digest}, nil
}

// steps drives a sharer in a zone of two VMs step by step.
type steps struct {
	*sharer
	peers *countingPeers
	now   time.Time
}

func newSteps(t *testing.T) *steps {
	t.Helper()
	sharer, _ := newTestSharer(t)
	s := &steps{sharer: sharer, peers: &countingPeers{release: make(chan struct{})}, now: time.Unix(1000, 0)}
	self := sharer.view.Self()
	other := membership.Member{VM: "vm-c", Zone: self.Zone, State: membership.Alive}
	s.view = membership.Static{This: self, All: []membership.Member{self, other}}
	s.shareParams.peers = s.peers
	s.clock = func() time.Time { return s.now }
	s.started = s.now
	return s
}

// after makes a step d after the former one and returns the calls that it has made.
func (s *steps) after(t *testing.T, d time.Duration) int {
	s.now = s.now.Add(d)
	s.peers.mu.Lock()
	before := s.peers.calls
	s.peers.mu.Unlock()
	s.step(t.Context())
	s.running.Wait()
	return s.peers.calls - before
}

// A process that was suspended without any call of its own at the time would not notice
// that it has missed facts.
func TestExchangeFollowsASuspension(t *testing.T) {
	s := newSteps(t)
	s.after(t, 0)
	for range 10 {
		s.after(t, maxStep)
	}
	for s.after(t, maxStep) == 0 {
	}
	assert.Equal(t, s.after(t, maxStep), 0)
	assert.Equal(t, s.after(t, maxStep+stallTime), 1)
	assert.Equal(t, s.after(t, maxStep), 0)
}

// Soon after its start a VM is not in the views of others, which do not send it facts.
func TestExchangesAreFrequentAfterTheStart(t *testing.T) {
	s := newSteps(t)
	calls := 0
	for range 4 * time.Second / (100 * time.Millisecond) {
		calls += s.after(t, 100*time.Millisecond)
	}
	assert.Assert(t, calls >= 4, "%d exchanges", calls)
}

// A VM that does not respond must not take all calls in flight, and gets what waits for it
// in one call.
func TestOneCallToAMemberIsInFlight(t *testing.T) {
	s := newSteps(t)
	s.after(t, 0)
	inFlight := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.calls
	}
	for n := range 3 {
		s.publish(soundsNamed(n, n+1))
		s.now = s.now.Add(batchTime)
		s.step(t.Context())
		assert.Equal(t, inFlight(), 1)
	}
	assert.Equal(t, len(s.deliveries), 2)
	close(s.peers.release)
	s.running.Wait()
	s.step(t.Context())
	s.running.Wait()
	assert.Equal(t, s.counters.Deliveries.Load(), int64(2))
}
