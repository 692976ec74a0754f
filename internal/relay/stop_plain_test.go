package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A plain request that reached a VM after its listener had closed was sent to an endpoint
// although its answer could come after the VM's end, which cuts it off.
func TestPlainRequestThatMayOutliveTheVMIsRefused(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
	s.relay.RefuseNew(time.Now().Add(booking.Timeout / 2))
	caller := s.serve(booking, nil)
	assert.Equal(t, caller.outcome, "refused: the VM is stopping")
	assert.Equal(t, caller.retryAfter, stoppingRetryAfter)
	assert.Equal(t, s.callCount(), 0)
}

// A plain request that ends before the VM does is answered; a refusal would cost its caller
// another attempt.
func TestPlainRequestThatEndsBeforeTheVMIsServed(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
	s.relay.RefuseNew(time.Now().Add(2 * booking.Timeout))
	assert.Equal(t, s.serve(booking, nil).body, "done")
}

// A generation that reaches a VM after its listener has closed is refused, whatever time it
// has: other VMs can serve it to its end.
func TestGenerationThatComesAfterTheListenerClosedIsRefused(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.relay.RefuseNew(time.Now().Add(2 * dossier.Timeout))
	assert.Equal(t, s.serve(dossier, work).outcome, "refused: the VM is stopping")
}
