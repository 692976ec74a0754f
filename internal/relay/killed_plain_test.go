package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// Guards against a part of a plain answer without length or chunks that is delivered as the whole one because
// the endpoint's process was killed: the kernel closes its connections in order.
func TestPlainAnswerOfAKilledEndpointIsNotComplete(t *testing.T) {
	for _, route := range []routing.Route{booking, lookup} {
		s := newFixture(t)
		address, kill := startEngineProcess(t, 2)
		s.add("d1", "desk", "", address)
		go kill()
		caller := s.serve(route, nil)
		assert.Equal(t, caller.outcome, "failed: no endpoint answered")
	}
}

// Guards against the same if the endpoint is known to leave: one that has left takes its registration away.
func TestPlainAnswerOfAnEndpointKilledWhileItLeavesIsNotComplete(t *testing.T) {
	s := newFixture(t)
	address, kill := startEngineProcess(t, 2)
	s.add("d1", "desk", "", address)
	go kill(func() { s.endpoints.MarkLeaving("d1") })
	assert.Equal(t, s.serve(booking, nil).outcome, "failed: no endpoint answered")
}

// Guards against such a part that ends as a whole answer while it is passed on for want of memory.
func TestAnswerOfAKilledEndpointThatIsPassedOnIsNotComplete(t *testing.T) {
	s := newFixture(t)
	counters := s.shortMemory(1 << 20)
	address, kill := startEngineProcess(t, 10_000)
	s.add("d1", "desk", "", address)
	go func() {
		for counters.PassedOn.Load() == 0 && t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		kill()
	}()
	caller := s.serve(booking, nil)
	assert.Equal(t, counters.PassedOn.Load(), int64(1))
	assert.Equal(t, caller.outcome, "aborted")
	s.memory.Close()
	assert.Equal(t, counters.Reserved.Load(), int64(0))
}
