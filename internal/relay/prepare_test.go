package relay

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// An engine that leaves while another attempt is prepared ended the process: the engine
// was looked up twice, and the second look found none.
func TestEngineThatLeavesWhileAnAttemptIsPreparedEndsNothing(t *testing.T) {
	s := newFixture(t, grant("p2", "e2"))
	s.endpoint("p2", "pool", configuration.RolePrefill, answers(http.StatusOK, "h2"))
	s.endpoint("e2", "pool", configuration.RoleDecode, events(2))
	request := &Request{ID: "r1", Method: http.MethodPost, Target: "/x/1", Arrived: time.Now(), Generation: work}
	route := check
	x := &exchange{request: request, route: &route, service: s.fleet.Table().Service("pool"), caller: &recorder{}, deadline: time.Now().Add(time.Hour)}
	x.suspect = s.relay.options.Quarantine.Request("pool", "", nil)
	defer s.relay.inFlight.begin(x)()
	stop, toggled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(toggled)
		for {
			select {
			case <-stop:
				return
			default:
				s.fleet.SetInstances(nil)
				s.fleet.SetInstances(s.instances)
			}
		}
	}()
	for range 3000 {
		g := &generation{exchange: x}
		p := s.relay.prepare(t.Context(), g.detached(), s.relay.demand(g), new(atomic.Bool))
		assert.Assert(t, p.err != nil || p.call != nil)
		p.call.close()
	}
	close(stop)
	<-toggled
}
