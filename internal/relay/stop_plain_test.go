package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// A plain request that reached a VM after its listener had closed was sent to an endpoint
// although its answer could come after the VM's end, which cuts it off.
func TestPlainRequestThatMayOutliveTheVMIsRefused(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
	s.relay.BeginStop(time.Now().Add(booking.Timeout / 2))
	s.relay.RefuseNew()
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
	s.relay.BeginStop(time.Now().Add(2 * booking.Timeout))
	s.relay.RefuseNew()
	assert.Equal(t, s.serve(booking, nil).body, "done")
}

// A generation that reaches a VM after its listener has closed is refused, whatever time it
// has: other VMs can serve it to its end.
func TestGenerationThatComesAfterTheListenerClosedIsRefused(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.relay.BeginStop(time.Now().Add(2 * dossier.Timeout))
	s.relay.RefuseNew()
	assert.Equal(t, s.serve(dossier, work).outcome, "refused: the VM is stopping")
}

// A request that was taken before the listener closed was sent at the end of the grace, after a wait, and was
// cut off. One that may run only once is refused from the beginning of the stop.
func TestPlainRequestThatMayBeCutOffIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		route routing.Route
		began bool
		sent  bool
		// call is the number of the check of the key during which the stop goes on; the last one is followed only by
		// the check right before the request is sent.
		call int
	}{
		"single run, stop begins":         {booking, true, false, 1},
		"repeatable, stop begins":         {lookup, true, true, 1},
		"single run, listener has closed": {booking, false, false, 1},
		"repeatable, listener has closed": {lookup, false, false, 1},
		"single run, right before a send": {booking, true, false, 2},
		"repeatable, right before a send": {lookup, false, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
			request, calls := s.request(nil), 0
			request.Reauthenticate = func() (*team.Team, *Refusal) {
				if calls++; calls != c.call {
					return nil, nil
				}
				s.relay.BeginStop(time.Now().Add(time.Second))
				if !c.began {
					s.relay.RefuseNew()
				}
				return nil, nil
			}
			caller := &recorder{}
			s.serveRequest(t.Context(), caller, c.route, request)
			assert.Equal(t, s.callCount() > 0, c.sent)
			assert.Equal(t, caller.outcome == "refused: the VM is stopping", !c.sent, caller.outcome)
		})
	}
}
