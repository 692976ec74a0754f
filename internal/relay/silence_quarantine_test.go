package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// A silent stream was left for other engines although a part of its prompt had been
// quarantined while they were prepared: none of them got the request, and the stream was
// lost.
func TestSilentStreamIsNotLeftOnceItsPromptIsHeldBack(t *testing.T) {
	crashing := []string{"d1", "d2", "d3"}
	sought, judged := make(chan struct{}), make(chan struct{})
	wait := func(d scheduling.Demand) (scheduling.Grant, error) {
		close(sought)
		<-judged
		return grant("e2", "e2")(d)
	}
	s := newImpatientFixture(t, append([]func(scheduling.Demand) (scheduling.Grant, error){grant("e1", "e1"), wait}, inTurn(crashing...)...)...)
	retries := &budget{left: 2}
	s.relay.options.Budget = retries
	s.crashingEngines(0, crashing...)
	s.endpoint("e1", "pool", configuration.RoleDecode, silentUntil(func() bool { return s.reserver.released() > len(crashing) }))
	s.endpoint("e2", "pool", configuration.RoleDecode, events(4))
	done := make(chan *recorder)
	go func() { done <- s.serve(check, withParts(part)) }()
	<-sought
	for range crashing {
		s.serve(dossier, withParts(part))
		time.Sleep(crashInterval)
	}
	s.awaitHeld(part)
	close(judged)
	caller := <-done
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(4))
	retries.await(2)
}
