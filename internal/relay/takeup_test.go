package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// Guards against a stream that is joined of two builds of a plain service, and against other requests that are refused then.
func TestTakeUpGoesToAPlainServiceOfOneBuildOnly(t *testing.T) {
	s := newFixture(t)
	s.inTurn(events(3))
	s.builds.several = true
	assert.Equal(t, s.serve(feed, nil).outcome, "stream")
	s.takeUp = &TakeUp{LastEventID: "2"}
	assert.Equal(t, s.serve(feed, nil).outcome, "refused: the build that began the stream is not known")
	assert.Equal(t, s.serve(report, nil).outcome, "stream")
	assert.Equal(t, s.serve(lookup, nil).outcome, "answer")
	assert.Equal(t, s.callCount(), 3)
}

// Guards against a stream that is joined of two plain services: its caller takes it up, and the split of the route, or a
// move, leads the request to a service that did not begin it.
func TestTakeUpGoesToAPlainServiceThatBeganTheStreamOnly(t *testing.T) {
	desk, other := routing.Destination{Service: "desk", Weight: 1}, routing.Destination{Service: "other", Weight: 1}
	named := &TakeUp{LastEventID: "2", Resumes: "r0"}
	const refused = "refused: the service that began the stream is not known"
	for _, c := range []struct {
		name         string
		route        routing.Route
		destinations []routing.Destination
		former       string
		// changed is the time since the latest change of the route, age that of the configuration.
		changed, age time.Duration
		takeUp       *TakeUp
		outcome      string
	}{
		{"one service", feed, []routing.Destination{desk}, "", 0, builds.MaxAge, &TakeUp{LastEventID: "2"}, "stream"},
		{"one service with a weight", feed, []routing.Destination{desk, {Service: "other"}}, "", 0, builds.MaxAge, &TakeUp{LastEventID: "2"}, "stream"},
		{"two services", feed, []routing.Destination{desk, other}, "", time.Hour, 0, &TakeUp{LastEventID: "2"}, refused},
		{"two services, new stream", feed, []routing.Destination{desk, other}, "", 0, time.Hour, nil, "stream"},
		{"two services, may not be resumed", report, []routing.Destination{desk, other}, "", 0, time.Hour, &TakeUp{LastEventID: "2"}, "stream"},
		{"two services, named", feed, []routing.Destination{desk, other}, "", time.Hour, 0, named, "stream"},
		{"two services, named, just split", feed, []routing.Destination{desk, other}, "", builds.Memory - time.Second, 0, named, refused},
		{"two services, named, may have changed", feed, []routing.Destination{desk, other}, "", time.Hour, time.Second, named, refused},
		{"has moved", feed, []routing.Destination{desk}, "other", builds.Memory - time.Second, 0, named, refused},
		{"has moved long ago", feed, []routing.Destination{desk}, "other", builds.Memory, 0, &TakeUp{LastEventID: "2"}, "stream"},
		{"weights have changed", feed, []routing.Destination{desk}, "desk", 0, 0, &TakeUp{LastEventID: "2"}, "stream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t)
			s.takeUp, s.configurationAge = c.takeUp, c.age
			s.inTurn(events(3))
			route := c.route
			route.Destinations, route.UnchangedSince = c.destinations, time.Now().Add(-c.changed)
			if c.former != "" {
				route.FormerServices = map[string]time.Time{c.former: time.Now().Add(-c.changed)}
			}
			caller := s.serve(route, nil)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, s.callCount() == 0, c.outcome == refused)
		})
	}
}

// Guards against a stream that is taken up at a VM that lacks a move of its route, or other builds
// that served: it has just started, or its registrations or its configuration are old.
func TestTakeUpOfAPlainStreamNeedsAVMWithTheHistory(t *testing.T) {
	const old = builds.MaxAge + time.Millisecond
	for name, forget := range map[string]func(*fixture){
		"has just started":  func(s *fixture) { s.young = true },
		"old registrations": func(s *fixture) { s.endpointsAge = old },
		"old configuration": func(s *fixture) { s.configurationAge = old },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.inTurn(events(3))
			forget(s)
			assert.Equal(t, s.serve(feed, nil).outcome, "stream")
			s.takeUp = &TakeUp{LastEventID: "2"}
			caller := s.serve(feed, nil)
			assert.Equal(t, caller.outcome, "refused: the service that began the stream is not known")
			assert.Equal(t, caller.retryAfter, unansweredRetryAfter, "another VM may have the history")
			assert.Equal(t, s.serve(report, nil).outcome, "stream")
			assert.Equal(t, s.callCount(), 2)
		})
	}
}
