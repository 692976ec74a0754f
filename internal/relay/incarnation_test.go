package relay

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/origin"
)

// An engine crashed and was back under its ID with another build. Until its registration arrived, streams of the former
// build went on there.
func TestStreamDoesNotGoOnAtAProcessThatIsNotConfirmed(t *testing.T) {
	for name, err := range map[string]error{"replaced": Replaced.New("started again"), "not known": errors.New("no report")} {
		t.Run("taken up, "+name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"))
			s.engines(answers(http.StatusOK, "h1"), events(3))
			s.setBuilds(oneBuild)
			s.origins.found, s.origins.err = origin.Origin{Stream: "r0", Service: "pool", Build: "v1", Revision: 1}, nil
			s.unconfirmed["e1"] = err
			caller := s.serve(check, takenUp)
			assert.Equal(t, caller.outcome, "stream")
			assert.Equal(t, s.callLog(), "p1:1/2 e1:2/h1/2 p2:1/2 e2:2/h2/2")
			assert.Equal(t, s.endpoints.Leaving("e1"), name == "replaced")
		})
		t.Run("cut, "+name, func(t *testing.T) {
			s := newFixture(t, grant("p1", "e1"), grant("p2", "e2"), refuseNoEngine)
			s.engines(answers(http.StatusOK, "h1"), cutAfter(1))
			s.setBuilds(oneBuild)
			s.unconfirmed["e2"] = err
			caller := s.serve(check, work)
			assert.Equal(t, caller.outcome, "aborted")
			assert.Equal(t, caller.body, eventText(1))
		})
	}
}

// A beginning needs no confirmation: each stream would cost a call.
func TestStreamBeginsWithoutAskingForTheProcess(t *testing.T) {
	s := newFixture(t, grant("p1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), events(3))
	s.unconfirmed["e1"] = errors.New("asked")
	assert.Equal(t, s.serve(check, work).outcome, "stream")
}

// A stream that began at an engine right after its restart was recorded as one of the former build, so that its
// remainder came from there.
func TestStreamThatBeganAfterARestartIsRecordedAnew(t *testing.T) {
	s := newFixture(t, grant("e1", "e1"))
	s.engines(answers(http.StatusOK, "h1"), func(w http.ResponseWriter, _ *http.Request) {
		eventsBetween(w, 1, 1)
		_ = http.NewResponseController(w).Flush()
		s.restart("e1", "v2")
		eventsBetween(w, 2, 3)
	})
	s.setBuilds(oneBuild)
	assert.Equal(t, s.serve(check, work).body, eventText(3))
	assert.DeepEqual(t, s.origins.recorded, []origin.Origin{
		{Stream: "r1", Service: "pool", Build: "v1", Revision: 1},
		{Stream: "r1", Service: "pool", Build: "v2", Revision: 2},
	})
}

// restart replaces the registration of an endpoint by that of a later process with another build.
func (s *fixture) restart(name, build string) {
	instances := append([]fleet.Instance(nil), s.instances...)
	for i := range instances {
		if instances[i].Name == name {
			instances[i].Name, instances[i].Build = name+"-2", build
		}
	}
	s.fleet.SetInstances(instances)
}
