package relay

import (
	"context"
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// fakeQuotas admits requests unless there is a wait, and records costs.
type fakeQuotas struct {
	wait            time.Duration
	patience        time.Duration
	yields          bool
	taken, released int64
}

func (f *fakeQuotas) Take(_ context.Context, _ *team.Team, cost int64, yields bool, patience time.Duration) (func(), time.Duration, bool) {
	f.patience, f.yields = patience, yields
	if f.wait > 0 {
		return nil, f.wait, false
	}
	f.taken += cost
	return func() { f.released += cost }, 0, true
}

func (*fakeQuotas) Owner(string) string { return "vm-9" }

// refusedCaller records the whole refusal.
type refusedCaller struct {
	recorder
	refusal Refusal
}

func (c *refusedCaller) Refuse(r Refusal) {
	c.refusal = r
	c.recorder.Refuse(r)
}

var limited = team.Team{Name: "t", Quota: team.Quota{Unit: team.Tokens, PlainTokens: 200, PerSecond: 1000, Burst: 1000}}

// serveTeam serves one request of a team with a limit.
func serveTeam(ctx context.Context, s *fixture, quotas *fakeQuotas, route routing.Route, work *Generation) *refusedCaller {
	s.relay.options.Quotas = quotas
	caller, service := &refusedCaller{}, "desk"
	if work != nil {
		service = "pool"
	}
	s.relay.Serve(ctx, &Request{
		ID: "r1", Method: http.MethodPost, Target: "/x", Host: "a.example", Header: http.Header{}, Team: &limited,
		Arrived: time.Now(), Timeout: time.Minute, EventTimeout: time.Minute, Generation: work,
	}, &route, s.fleet.Table().Service(service), caller)
	return caller
}

// A request over the quota must reach no endpoint, and its caller must get the time to come back.
func TestRequestOverTheQuotaIsRefusedBeforeAnythingIsSent(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	quotas := &fakeQuotas{wait: 7 * time.Second}
	caller := serveTeam(t.Context(), s, quotas, dossier, work)
	assert.DeepEqual(t, caller.refusal, Refusal{Reason: reasonOverQuota, RetryAfter: 7 * time.Second, OverQuota: true})
	assert.Equal(t, quotas.patience, dossier.Objective/4)
	assert.Equal(t, s.callCount()+len(s.reserver.demands), 0)
}

// The cost of a request that has not run is lost for its team unless it is given back; that of one
// that may have run must stay charged. Further attempts are not charged.
func TestCostOfRequestsThatHaveNotRunIsRefunded(t *testing.T) {
	refusesCapacity := func(scheduling.Demand) (scheduling.Grant, error) {
		return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedQueueFull, RetryAfter: time.Second}
	}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name     string
		ctx      context.Context
		endpoint func(http.ResponseWriter, *http.Request)
		answer   func(scheduling.Demand) (scheduling.Grant, error)
		route    routing.Route
		work     *Generation
		taken    int64
		refunded bool
	}{
		{name: "answered", endpoint: answers(http.StatusOK, "x"), route: lookup, taken: 200},
		{name: "not reachable", route: lookup, taken: 200, refunded: true},
		{name: "declined twice", endpoint: declines, route: lookup, taken: 200, refunded: true},
		{name: "answer lost", endpoint: reset, route: booking, taken: 200},
		{name: "no capacity", answer: refusesCapacity, route: dossier, work: work, taken: 150, refunded: true},
		{name: "stream complete", endpoint: events(2), answer: grant("e1", "e1"), route: dossier, work: work, taken: 150},
		{name: "stream declined", endpoint: declines, answer: grant("e1", "e1"), route: dossier, work: work, taken: 150, refunded: true},
		{name: "caller gone in the queue", ctx: gone, answer: nil, route: dossier, work: work, taken: 150, refunded: true},
		{name: "sum of counts overflows", answer: refusesCapacity, route: dossier, taken: 2 * maxCountedTokens, refunded: true,
			work: &Generation{PromptTokens: math.MaxInt, MaxOutputTokens: math.MaxInt}},
	} {
		s := newFixture(t, c.answer)
		if c.endpoint != nil {
			s.endpoint("d1", "desk", "", c.endpoint)
			s.endpoint("e1", "pool", configuration.RoleDecode, c.endpoint)
		}
		if c.ctx == nil {
			c.ctx = t.Context()
		}
		quotas := &fakeQuotas{}
		caller := serveTeam(c.ctx, s, quotas, c.route, c.work)
		assert.Equal(t, quotas.taken, c.taken, c.name)
		assert.Equal(t, quotas.released == c.taken, c.refunded, "%s: %s", c.name, caller.outcome)
	}
}

// Requests without a team must not depend on the service of quotas.
func TestRequestsWithoutATeamAreNotCharged(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
	assert.Equal(t, s.serve(lookup, nil).body, "done")
}
