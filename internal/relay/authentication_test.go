package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// rejectAfter accepts the key of a request a number of times and counts the looks.
type rejectAfter struct{ accepted, looks int }

func (k *rejectAfter) look() (*team.Team, *Refusal) {
	k.looks++
	if k.looks > k.accepted {
		return nil, &Refusal{Reason: "removed", Unauthenticated: true}
	}
	return &team.Team{Name: "a"}, nil
}

func (s *fixture) serveAs(keys *rejectAfter, route routing.Route, generation *Generation) *recorder {
	service := "desk"
	if generation != nil {
		service = "pool"
	}
	caller := &recorder{}
	request := &Request{
		ID: "r1", Method: http.MethodPost, Target: "/x/1", Header: http.Header{}, Arrived: time.Now(), Timeout: time.Minute,
		EventTimeout: s.eventTimeout, Generation: generation, Reauthenticate: keys.look,
	}
	s.relay.Serve(context.Background(), request, &route, s.fleet.Table().Service(service), caller)
	return caller
}

// A key that is removed at any moment before a call, also while its connection is opened or its prompt is read,
// ran its request all the same.
func TestKeyIsCheckedBeforeEachCallUntilTheRequestMayRun(t *testing.T) {
	for name, c := range map[string]struct {
		route      routing.Route
		generation *Generation
		// calls are those that follow if the key is accepted, runs the last of them.
		calls string
		runs  string
	}{
		"plain":  {booking, nil, "d1:0", "d1:"},
		"stream": {dossier, work, "p1:1 e1:2/h1", "e1:"},
	} {
		for accepted := 0; ; accepted++ {
			s := newFixture(t, grant("p1", "e1"))
			s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
			s.engines(answers(http.StatusOK, "h1"), events(2))
			keys := &rejectAfter{accepted: accepted}
			caller := s.serveAs(keys, c.route, c.generation)
			if keys.looks <= accepted {
				assert.Equal(t, s.callLog(), c.calls, name)
				break
			}
			assert.Equal(t, caller.outcome, "refused: removed", "%s, accepted %d times", name, accepted)
			assert.Assert(t, caller.unauthenticated, "%s, accepted %d times", name, accepted)
			assert.Assert(t, !strings.Contains(s.callLog(), c.runs), "%s, accepted %d times: %s", name, accepted, s.callLog())
			assert.Equal(t, s.reserver.released(), len(s.reserver.demands), "%s, accepted %d times", name, accepted)
			assert.Equal(t, s.endpoints.Stats("d1").FailureRate, 0.0)
		}
	}
}

// removedOnceLooked removes a key at a look for the quiet of an endpoint.
type removedOnceLooked struct {
	*endpoint.Registry
	keys  *rejectAfter
	looks int
}

func (e *removedOnceLooked) QuietFor(name string) time.Duration {
	if e.looks--; e.looks == 0 {
		e.keys.accepted = 0
	}
	return e.Registry.QuietFor(name)
}

// A connection may take longer to open than a removal to become known. The look at the endpoint with the open
// connection follows one at the choice and one before the dial.
func TestKeyRemovedWhileAConnectionIsOpenedRunsNothing(t *testing.T) {
	s := newFixture(t)
	s.endpoint("d1", "desk", "", answers(http.StatusOK, "done"))
	keys := &rejectAfter{accepted: 1000}
	s.relay.options.Endpoints = &removedOnceLooked{Registry: s.endpoints, keys: keys, looks: 3}
	assert.Equal(t, s.serveAs(keys, booking, nil).outcome, "refused: removed")
	assert.Equal(t, s.callCount(), 0)
	assert.Equal(t, s.endpoints.Stats("d1").FailureRate, 0.0)
}

// A stream that has begun belongs to a request that was sent in time; ending it would waste what was delivered.
func TestStreamThatHasBegunGoesOnAfterItsKeyIsRemoved(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	keys := &rejectAfter{accepted: 1000}
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, _ *http.Request) {
		eventsBetween(w, 1, 1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	s.relay.options.Reserver = &removeAtSecondDemand{fakeReserver: s.reserver, keys: keys}
	assert.Equal(t, s.serveAs(keys, check, work).body, eventText(3))
}

// removeAtSecondDemand removes the key of a request when it asks for engines again.
type removeAtSecondDemand struct {
	*fakeReserver
	keys *rejectAfter
}

func (r *removeAtSecondDemand) Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	if len(r.demands) > 0 {
		r.keys.accepted = 0
	}
	return r.fakeReserver.Reserve(ctx, d)
}

// A route that takes precedence over the team, or a sum of both that reaches the background's priority, would
// let urgent teams wait behind others.
func TestDemandsAreOrderedByTeamThenRoute(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(1))
	directory := team.NewDirectory([]team.Entry{
		{Team: team.Team{Name: "a", Quota: team.Quota{PerSecond: 30}}}, {Team: team.Team{Name: "b", Quota: team.Quota{PerSecond: 10}}},
	})
	demand := func(t *team.Team, priority int) scheduling.Demand {
		route := dossier
		route.Priority = priority
		g := &generation{exchange: &exchange{
			request: &Request{Team: t, Generation: work, Arrived: time.Now()}, route: &route, service: s.fleet.Table().Service("pool"),
		}}
		return s.relay.demand(g)
	}
	of := func(priority int) *team.Team { return &team.Team{Name: "a", Priority: &priority} }
	order := []scheduling.Demand{
		demand(of(0), 0), demand(of(0), 31), demand(of(1), 0), demand(of(1), 5), demand(of(2), 0), demand(of(30), 31),
	}
	for i := 1; i < len(order); i++ {
		assert.Assert(t, order[i].Priority < order[i-1].Priority, "%d", i)
	}
	assert.Equal(t, demand(of(1_000_000), 1_000_000).Priority, order[5].Priority)
	assert.Assert(t, order[5].Priority > scheduling.BackgroundPriority)
	assert.Equal(t, demand(of(-5), -5).Priority, order[0].Priority)
	assert.Equal(t, demand(&team.Team{Name: "a"}, 3).Priority, -3, "without a priority the route's counts")
	assert.Equal(t, demand(directory.Team("a"), 0).Team, "a")
	assert.Equal(t, demand(directory.Team("a"), 0).Share, 1.5)
	none := demand(nil, 40)
	assert.Equal(t, none.Priority, -40)
	assert.Equal(t, none.Team, "")
	assert.Equal(t, none.Share, 0.0)
}
