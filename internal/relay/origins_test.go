package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// twoBuilds are the builds of the engines of fixture.engines.
var twoBuilds = map[string]string{"p1": "v1", "p2": "v2", "e1": "v1", "e2": "v2"}

var oneBuild = map[string]string{"p1": "v1", "p2": "v1", "e1": "v1", "e2": "v1"}

// takenUp is the work of a request whose caller has two events of a stream, see fixture.request.
var takenUp = &Generation{PromptTokens: 100, MaxOutputTokens: 50}

func refuseNoEngine(scheduling.Demand) (scheduling.Grant, error) {
	return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedNoEngine}
}

// What engines of two builds write does not fit together in one stream.
func TestCutStreamGoesOnAtItsBuildOnly(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"), refuseNoEngine)
	s.engines(answers(http.StatusOK, "h1"), cutAfter(2))
	s.setBuilds(twoBuilds)
	caller := s.serve(check, work)
	assert.Equal(t, caller.outcome, "aborted")
	assert.Equal(t, caller.body, eventText(2))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
	assert.Equal(t, s.reserver.demands[0].Build, "")
	assert.Equal(t, s.reserver.demands[1].Build, "v1")
	assert.DeepEqual(t, s.origins.ended, []string{"r1:false"})
}

// The engine of another build must not take the stream of a silent engine either.
func TestSilentStreamIsNotLeftForAnotherBuild(t *testing.T) {
	s := newImpatientFixture(t, grant("p1", "e1"), grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), silentUntil(s.silenceNoticed))
	s.setBuilds(twoBuilds)
	caller := s.serve(check, work)
	assert.Equal(t, caller.body, eventText(4))
	assert.Equal(t, s.callLog(), "p1:1 e1:2/h1")
}

func TestStreamThatIsTakenUpGoesOnAtItsBuild(t *testing.T) {
	s := newFixture(t, grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.setBuilds(twoBuilds)
	s.origins.found, s.origins.err = origin.Origin{Stream: "r0", Service: "pool", Build: "v2", Revision: 3}, nil
	caller := s.serve(check, takenUp)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, s.callLog(), "p2:1/2 e2:2/h2/2")
	demand := s.reserver.demands[0]
	assert.Equal(t, demand.Build, "v2")
	assert.Assert(t, demand.Resumed)
	assert.DeepEqual(t, s.origins.searched, []string{"r0"})
	assert.DeepEqual(t, s.origins.recorded, []origin.Origin{{Stream: "r0", Service: "pool", Build: "v2", Revision: 3}})
	assert.DeepEqual(t, s.origins.ended, []string{"r0:true"})
}

// A stream whose build no VM holds could get events of two builds. A process that had just
// started took the only registered build for the only one that could have begun it.
func TestUntracedStreamGoesOnOnlyIfThereIsOneBuild(t *testing.T) {
	const refused = "refused: the build that began the stream is not known"
	unknown, late := origin.Unknown.New("none"), origin.Incomplete.New("late")
	for _, c := range []struct {
		name              string
		builds            map[string]string
		sole              string
		age               time.Duration
		found, inArchive  error
		outcome           string
		retryAfter        time.Duration
		searchesInArchive int
	}{
		{"one build", oneBuild, "v1", 0, unknown, unknown, "stream", 0, 0},
		{"one build, VMs and store did not respond", oneBuild, "v1", 0, late, late, "stream", 0, 0},
		{"one build, not proved", oneBuild, "", 0, unknown, unknown, refused, 0, 1},
		{"one build, outdated endpoints", oneBuild, "v1", builds.MaxAge + 1, unknown, unknown, refused, 0, 1},
		{"two builds", twoBuilds, "", 0, unknown, unknown, refused, 0, 1},
		{"two builds, VMs did not respond", twoBuilds, "", 0, late, unknown, refused, unansweredRetryAfter, 1},
		{"two builds, store did not respond", twoBuilds, "", 0, unknown, late, refused, unansweredRetryAfter, 1},
		{"two builds, in the archive", twoBuilds, "", 0, late, nil, "stream", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			s.engines(answers(http.StatusOK, "h1"), events(3))
			s.setBuilds(c.builds)
			s.builds.sole = c.sole
			s.origins.err, s.origins.archiveErr = c.found, c.inArchive
			s.origins.inArchive = origin.Origin{Stream: "r0", Service: "pool", Build: "v1", Revision: 2}
			s.endpointsAge = c.age
			caller := s.serve(check, takenUp)
			assert.Equal(t, caller.outcome, c.outcome)
			assert.Equal(t, caller.retryAfter, c.retryAfter)
			assert.Equal(t, s.origins.archiveSearches, c.searchesInArchive)
		})
	}
}

// A route moved to another service whose engines have builds of the same names, and streams that had begun at the
// former service went on there.
func TestStreamGoesOnAtItsServiceOnly(t *testing.T) {
	for name, c := range map[string]struct {
		destinations []routing.Destination
		outcome      string
	}{
		"route has moved":       {[]routing.Destination{{Service: "pool", Weight: 1}}, "refused: the route does not lead to the service that began the stream"},
		"weight was taken away": {[]routing.Destination{{Service: "pool", Weight: 1}, {Service: "former"}}, "refused: the route does not lead to the service that began the stream"},
		"split has changed":     {[]routing.Destination{{Service: "pool", Weight: 9}, {Service: "former", Weight: 1}}, "stream"},
	} {
		for _, archived := range []bool{false, true} {
			t.Run(fmt.Sprint(name, archived), func(t *testing.T) {
				s := newFixture(t, grant("p1", "e1"))
				s.engines(answers(http.StatusOK, "h1"), events(3))
				s.setBuilds(oneBuild)
				s.fleet.SetTable(routing.NewTable(2, routing.Limits{}, nil, []routing.Service{
					{Name: "pool", Engines: &routing.Engines{Slots: 8}}, {Name: "former", Engines: &routing.Engines{Slots: 8}},
				}))
				found := origin.Origin{Stream: "r0", Service: "former", Build: "v1", Revision: 1}
				if archived {
					s.origins.inArchive, s.origins.archiveErr = found, nil
				} else {
					s.origins.found, s.origins.err = found, nil
				}
				route := check
				route.Destinations = c.destinations
				caller := s.serve(route, takenUp)
				assert.Equal(t, caller.outcome, c.outcome)
				if c.outcome == "stream" {
					assert.Equal(t, s.reserver.demands[0].Model, "former")
					assert.Equal(t, s.origins.recorded[0].Service, "former")
				}
			})
		}
	}
}

// Without a record, the only build of the route's service was taken for the one that began the stream, although the
// route may have led to another service then.
func TestUntracedStreamGoesOnOnlyIfThereIsOneService(t *testing.T) {
	for _, c := range []struct {
		name      string
		others    bool
		unchanged time.Duration
		age       time.Duration
		outcome   string
	}{
		{"one service", false, 0, time.Hour, "stream"},
		{"two services, route has just moved", true, builds.Memory - time.Second, 0, "refused: the build that began the stream is not known"},
		{"two services, configuration may have changed", true, builds.Memory, time.Hour, "refused: the build that began the stream is not known"},
		{"two services, route unchanged", true, builds.Memory, 0, "stream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			s.engines(answers(http.StatusOK, "h1"), events(3))
			s.setBuilds(oneBuild)
			s.builds.sole, s.builds.others, s.configurationAge = "v1", c.others, c.age
			route := check
			route.UnchangedSince = time.Now().Add(-c.unchanged)
			assert.Equal(t, s.serve(route, takenUp).outcome, c.outcome)
		})
	}
}

// Guards against a stream that one service of engines began and that goes on at another one, because a route that has been
// split over both for long counts as one that leads to the same service: a caller that does not name the request which
// began its stream is assigned anew.
func TestUntracedStreamOfASplitRouteGoesOnOnlyIfItsRequestIsNamed(t *testing.T) {
	for resumes, outcome := range map[string]string{"r0": "stream", "": "refused: the build that began the stream is not known"} {
		s := newFixture(t, grant("p1", "e1"))
		s.engines(answers(http.StatusOK, "h1"), events(3))
		s.setBuilds(oneBuild)
		s.builds.sole, s.builds.others = "v1", true
		s.takeUp = &TakeUp{LastEventID: "2", Resumes: resumes}
		route := check
		route.Destinations = []routing.Destination{{Service: "pool", Weight: 1}, {Service: "south", Weight: 1}}
		route.UnchangedSince = time.Now().Add(-time.Hour)
		assert.Equal(t, s.serve(route, work).outcome, outcome)
	}
}

// Guards against a stream that a service without engines began and that goes on at engines, because theirs is the only
// service with engines.
func TestUntracedStreamGoesOnOnlyIfNoPlainServiceMayHaveBegunIt(t *testing.T) {
	const refused = "refused: the build that began the stream is not known"
	pool, desk := routing.Destination{Service: "pool", Weight: 1}, routing.Destination{Service: "desk", Weight: 1}
	for _, c := range []struct {
		name         string
		destinations []routing.Destination
		former       string
		changed      time.Duration
		outcome      string
	}{
		{"engines only", []routing.Destination{pool}, "", 0, "stream"},
		{"engines only, a weight of 0", []routing.Destination{pool, {Service: "desk"}}, "", 0, "stream"},
		{"split", []routing.Destination{pool, desk}, "", 0, refused},
		{"split for long", []routing.Destination{pool, desk}, "", time.Hour, refused},
		{"has moved", []routing.Destination{pool}, "desk", 0, refused},
		{"has moved from a service that is gone", []routing.Destination{pool}, "gone", 0, refused},
		{"has moved long ago", []routing.Destination{pool}, "desk", builds.Memory, "stream"},
		{"weights have changed", []routing.Destination{pool}, "pool", 0, "stream"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			s.engines(answers(http.StatusOK, "h1"), events(3))
			s.setBuilds(oneBuild)
			s.builds.sole, s.configurationAge = "v1", time.Hour
			route := check
			route.Destinations, route.UnchangedSince = c.destinations, time.Now().Add(-c.changed)
			if c.former != "" {
				route.FormerServices = map[string]time.Time{c.former: time.Now().Add(-c.changed)}
			}
			assert.Equal(t, s.serve(route, takenUp).outcome, c.outcome)
		})
	}
}

// A stream that the archive names must go on at the build that began it.
func TestStreamGoesOnAtTheBuildOfTheArchive(t *testing.T) {
	s := newFixture(t, grant("p2", "e2"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.setBuilds(twoBuilds)
	s.origins.inArchive, s.origins.archiveErr = origin.Origin{Stream: "r0", Service: "pool", Build: "v2", Revision: 3}, nil
	assert.Equal(t, s.serve(check, takenUp).outcome, "stream")
	assert.Equal(t, s.reserver.demands[0].Build, "v2")
	assert.DeepEqual(t, s.origins.recorded, []origin.Origin{{Stream: "r0", Service: "pool", Build: "v2", Revision: 3}})
}

// A VM that started after a kill of all VMs would have no trace of a build that no record lists.
func TestEngineOfAnUnlistedBuildBeginsNoStream(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.setBuilds(twoBuilds)
	s.builds.held = map[string]bool{"v2": true}
	assert.Equal(t, s.serve(check, work).outcome, "stream")
	assert.DeepEqual(t, s.reserver.demands[0].Exclude, []string{"e2"})
}

// A grant may name an engine that was registered after the demand was made.
func TestGrantOfAnUnlistedBuildIsNotUsed(t *testing.T) {
	s := newFixture(t, grant("p2", "e2"), grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.setBuilds(twoBuilds)
	s.builds.held = map[string]bool{"v2": true}
	assert.Equal(t, s.serve(check, work).outcome, "stream")
	assert.Assert(t, !strings.Contains(s.callLog(), "e2:"), s.callLog())
}

// Streams must not be refused, nor wait in the queue of the last engine of the former build,
// when engines of a new build may serve a moment later.
func TestStreamsWaitForABuildToBeListed(t *testing.T) {
	for name, held := range map[string][]string{"all builds": {"v1", "v2"}, "new build": {"v2"}} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, nil, grant("p2", "e2"))
			if len(held) == 2 {
				s = newFixture(t, grant("p2", "e2"))
			}
			s.engines(answers(http.StatusOK, "h1"), events(3))
			s.setBuilds(twoBuilds)
			s.builds.held = make(map[string]bool)
			for _, build := range held {
				s.builds.held[build] = true
			}
			go func() {
				s.reserver.awaitDemands(2 - len(held))
				s.builds.list("v2")
			}()
			assert.Equal(t, s.serve(check, work).outcome, "stream")
			assert.Equal(t, strings.Contains(s.callLog(), "e2:"), true, s.callLog())
		})
	}
}

// A stream that no listed build can begin was held until its caller gave up, while the store accepted no records.
func TestStreamThatNoListedBuildCanBeginIsRefused(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.setBuilds(oneBuild)
	s.builds.held = map[string]bool{"v1": true}
	caller := s.serve(check, work)
	assert.Equal(t, caller.outcome, "refused: no engine's build is listed yet")
	assert.Equal(t, caller.retryAfter, unlistedRetryAfter)
	assert.Equal(t, s.callCount(), 0)
}

// A caller that takes a stream up may come to a VM that knows only the build of an
// engine that declined it.
func TestBuildIsRecordedBeforeEachSend(t *testing.T) {
	s := newFixture(t, grant("e1", "e1"), grant("e2", "e2"))
	recordedBefore := 0
	s.endpoint("e1", "pool", configuration.RoleDecode, declines)
	s.endpoint("e2", "pool", configuration.RoleDecode, func(w http.ResponseWriter, r *http.Request) {
		recordedBefore = len(s.origins.recorded)
		events(2)(w, r)
	})
	s.setBuilds(twoBuilds)
	caller := s.serve(check, work)
	assert.Equal(t, caller.body, eventText(2))
	assert.Equal(t, recordedBefore, 2)
	assert.DeepEqual(t, s.origins.recorded, []origin.Origin{
		{Stream: "r1", Service: "pool", Build: "v1", Revision: 1},
		{Stream: "r1", Service: "pool", Build: "v2", Revision: 2},
	})
	assert.DeepEqual(t, s.origins.ended, []string{"r1:true"})
}

// An engine of a former build declined, and a VM that was out of step, or the archive, kept that build as
// the one that began the stream. Once the serving VM was gone, the stream went on there.
func TestStreamIsNotBegunWhileAVMMayHoldAFormerBuild(t *testing.T) {
	unconfirmed := origin.Unconfirmed.New("a holder may have a former build")
	for name, change := range map[string]func(*fakeOrigins){
		"VM":      func(o *fakeOrigins) { o.unconfirmed = unconfirmed },
		"archive": func(o *fakeOrigins) { o.unarchived = unconfirmed },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"))
			s.engines(answers(http.StatusOK, "h1"), events(3))
			s.setBuilds(twoBuilds)
			change(s.origins)
			caller := s.serve(check, work)
			assert.Equal(t, caller.outcome, "failed: no endpoint answered")
			assert.Equal(t, caller.body, "")
			assert.Equal(t, s.relay.Counters.Unconfirmed.Load(), int64(1))
			assert.DeepEqual(t, s.origins.ended, []string{"r1:true"})
		})
	}
}

// An engine that failed the stream may be the only one that can continue it.
func TestOnlyEngineOfTheBuildIsTriedAgain(t *testing.T) {
	onlyWithoutExclusions := func(d scheduling.Demand) (scheduling.Grant, error) {
		if len(d.Exclude) > 0 {
			return refuseNoEngine(d)
		}
		return grant("p1", "e1")(d)
	}
	s := newFixture(t, onlyWithoutExclusions)
	cut := false
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, r *http.Request) {
		if !cut {
			cut = true
			cutAfter(1)(w, r)
		}
		events(3)(w, r)
	})
	s.setBuilds(twoBuilds)
	caller := s.serve(check, work)
	assert.Equal(t, caller.outcome, "stream")
	assert.Equal(t, caller.body, eventText(3))
	assert.Equal(t, len(s.reserver.demands), 3)
}

// Streams that may not be resumed need no record.
func TestStreamsThatMayNotBeResumedAreNotRecorded(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(2))
	s.setBuilds(twoBuilds)
	s.serve(dossier, work)
	assert.Equal(t, len(s.origins.recorded)+len(s.origins.ended), 0)
}

// Attempts for which no engine of the build is found would use up the retries of other
// streams.
func TestAttemptsThatSendNothingCostNoRetry(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"), refuseNoEngine)
	s.engines(answers(http.StatusOK, "h1"), cutAfter(2))
	s.setBuilds(twoBuilds)
	retries := &budget{left: 3}
	s.relay.options.Budget = retries
	s.serve(check, work)
	assert.Equal(t, retries.left, 3)
	assert.Equal(t, s.relay.Counters.Repeated.Load(), int64(0))
}

// A build that changes during the prefill must not reach the stream.
func TestBuildIsCheckedAgainAfterThePrefill(t *testing.T) {
	s := newFixture(t, grant("p2", "e2"))
	s.endpoint("p2", "pool", configuration.RolePrefill, func(w http.ResponseWriter, r *http.Request) {
		s.setBuilds(oneBuild)
		answers(http.StatusOK, "h2")(w, r)
	})
	s.endpoint("e2", "pool", configuration.RoleDecode, events(3))
	s.setBuilds(twoBuilds)
	s.origins.found, s.origins.err = origin.Origin{Stream: "r0", Service: "pool", Build: "v2", Revision: 1}, nil
	short := check
	short.Timeout = 100 * time.Millisecond
	s.serve(short, takenUp)
	assert.Assert(t, !strings.Contains(s.callLog(), "e2:"), s.callLog())
}

// A search must leave time for the engine before the caller gives up.
func TestSearchEndsBeforeTheCallerGivesUp(t *testing.T) {
	s := newImpatientFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.setBuilds(oneBuild)
	s.builds.sole = "v1"
	s.relay.options.Origins = silentOrigins{s.origins}
	assert.Equal(t, s.serve(check, takenUp).outcome, "stream")
}

// silentOrigins finds nothing until the search is ended.
type silentOrigins struct{ *fakeOrigins }

func (silentOrigins) Find(ctx context.Context, _ string) (origin.Origin, error) {
	<-ctx.Done()
	return origin.Origin{}, origin.Incomplete.New("no response")
}
