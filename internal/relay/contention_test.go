package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// refuseWith refuses a demand with a predicted delay.
func refuseWith(after time.Duration) func(scheduling.Demand) (scheduling.Grant, error) {
	return func(scheduling.Demand) (scheduling.Grant, error) {
		return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedTarget, RetryAfter: after}
	}
}

// TestRetryAfterOfATeamIsThePrediction covers a caller that is given a fixed time, at which its
// turn has not come, or one longer than a third of its time, before which it comes back.
func TestRetryAfterOfATeamIsThePrediction(t *testing.T) {
	for _, test := range []struct {
		name           string
		team           *team.Team
		predicted      time.Duration
		least, longest time.Duration
	}{
		{"no team", nil, 9 * time.Second, maxBusyRetryAfter, maxBusyRetryAfter},
		{"predicted", &team.Team{Name: "a"}, 9 * time.Second, 9 * time.Second, 9 * time.Second},
		{"longer than heeded", &team.Team{Name: "a"}, time.Hour, 19 * time.Second, 20 * time.Second},
		{"an older owner", &team.Team{Name: "a"}, time.Millisecond, minBusyRetryAfter, minBusyRetryAfter},
	} {
		s := newFixture(t, refuseWith(test.predicted))
		s.engines(answers(http.StatusOK, "h1"), events(1))
		caller := &recorder{}
		route := dossier
		route.Priority = 2
		request := &Request{
			ID: "r", Method: http.MethodPost, Target: "/x/1", Header: http.Header{}, Arrived: time.Now(),
			Timeout: time.Minute, EventTimeout: time.Minute, Generation: work, Team: test.team,
		}
		s.relay.Serve(t.Context(), request, &route, s.fleet.Table().Service("pool"), caller)
		assert.Assert(t, caller.retryAfter >= test.least && caller.retryAfter <= test.longest, "%s: %s", test.name, caller.retryAfter)
		last := s.reserver.demands[len(s.reserver.demands)-1]
		assert.Equal(t, last.Strict, test.team != nil, test.name)
		assert.Equal(t, last.Urgency, -2, test.name)
		assert.Assert(t, last.Priority <= scheduling.BackgroundPriority, test.name)
	}
}
