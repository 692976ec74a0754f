package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// A VM that stops closes the connections of requests that are left. One that still waits
// for engines has not run, and its caller can only know that from a refusal.
func TestRequestsThatWaitDuringAStopAreRefused(t *testing.T) {
	s := newFixture(t, nil)
	s.engines(answers(http.StatusOK, "h1"), events(2))
	caller := &recorder{}
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.serveTo(t.Context(), caller, dossier, work)
	}()
	s.reserver.awaitDemands(1)
	s.relay.RefuseWaiting()
	<-served
	assert.Equal(t, caller.outcome, "refused: the VM is stopping")
	assert.Equal(t, caller.retryAfter, stoppingRetryAfter)
	assert.Equal(t, s.callLog(), "")
}

// A stream that has begun must not be given up because its VM stops later.
func TestStreamGoesOnDuringAStop(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), nil)
	s.endpoint("p1", "pool", configuration.RolePrefill, answers(http.StatusOK, "h1"))
	s.endpoint("e1", "pool", configuration.RoleDecode, func(w http.ResponseWriter, r *http.Request) {
		s.relay.RefuseWaiting()
		events(3)(w, r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	caller := &recorder{}
	s.serveTo(ctx, caller, dossier, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
}

// A stream that waits to be continued must not be given up either, since its caller has
// events already.
func TestStreamThatWaitsToBeContinuedGoesOnDuringAStop(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), nil)
	s.engines(answers(http.StatusOK, "h1"), cutAfter(2))
	ctx, cancel := context.WithCancel(t.Context())
	caller, served := &recorder{}, make(chan struct{})
	go func() {
		defer close(served)
		s.serveTo(ctx, caller, check, work)
	}()
	s.reserver.awaitDemands(2)
	s.relay.RefuseWaiting()
	select {
	case <-served:
		t.Fatal("the stream was given up")
	case <-time.After(20 * time.Millisecond):
	}
	cancel()
	<-served
}
