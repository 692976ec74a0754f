package configuration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

func newTestSnapshot(t *testing.T, teams ...string) *Snapshot {
	t.Helper()
	snapshot, err := NewSnapshot(testBundle(teams...))
	assert.NilError(t, err)
	return snapshot
}

func TestTeamIsFoundByItsKeyOnly(t *testing.T) {
	snapshot := newTestSnapshot(t, "a", "b")
	team, ok := snapshot.TeamByKey("key of b")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name(), "b")
	_, ok = snapshot.TeamByKey("key of c")
	assert.Assert(t, !ok)
	_, ok = snapshot.TeamByKey("")
	assert.Assert(t, !ok)
}

func TestClassIsMatched(t *testing.T) {
	team := testTeam("a", 1)
	other := team.Classes[0]
	other.Name, other.Priority = "urgent", 5
	deeper := team.Classes[2]
	deeper.Name, deeper.Path = "deeper", "/bookings/*"
	plain := team.Classes[1]
	plain.Name, plain.Path = "plain", "/v1/completions"
	team.Classes = append([]Class{plain}, append(team.Classes, other, deeper)...)
	compiled := compileTeam(&team)
	for _, test := range []struct{ method, path, model, className, want string }{
		{"POST", "/v1/completions", "drafter", "", "summary"},
		{"POST", "/v1/completions", "drafter", "urgent", "urgent"},
		{"POST", "/v1/completions", "drafter", "none", ""},
		{"POST", "/v1/completions", "other", "", "plain"},
		{"POST", "/v1/completions/x", "drafter", "", ""},
		{"POST", "/bookings/1", "", "", "booking"},
		{"POST", "/bookings", "", "", ""},
		{"GET", "/bookings/1", "", "", "deeper"},
		{"GET", "/bookings/1", "", "any", "any"},
		{"GET", "/bookings", "", "", "any"},
		{"PUT", "/bookings/1", "", "", ""},
	} {
		class, ok := compiled.Match(test.method, test.path, test.model, test.className)
		assert.Equal(t, ok, test.want != "", "%+v", test)
		if ok {
			assert.Equal(t, class.Name, test.want, "%+v", test)
		}
	}
}

func TestEndpointsAreFound(t *testing.T) {
	snapshot := newTestSnapshot(t)
	assert.Equal(t, len(snapshot.Engines("drafter", RoleDecode, "")), 2)
	assert.Equal(t, snapshot.Engines("drafter", RoleDecode, "zone-b")[0].Name, "decode-2")
	assert.Equal(t, len(snapshot.Engines("drafter", RolePrefill, "zone-b")), 0)
	assert.Equal(t, len(snapshot.Plain("desk", "")), 2)
	assert.Equal(t, snapshot.Plain("desk", "zone-a")[0].Name, "desk-1")
	endpoint, ok := snapshot.Endpoint("desk-2")
	assert.Assert(t, ok && endpoint.Zone == "zone-b")
	model, ok := snapshot.Model("drafter")
	assert.Assert(t, ok && model.PrefillTokensPerSecond == 5000)
	vm, ok := snapshot.VM("vm-2")
	assert.Assert(t, ok && vm.Zone == "zone-b")
}

func TestChangeOfOneTeamSharesTheOthers(t *testing.T) {
	before := newTestSnapshot(t, "a", "b")
	changed := testTeam("b", 2)
	changed.KeyDigests = []string{team.DigestOf("new").String()}
	after := before.with([]change{{subject: TeamSubject("b"), version: 2, team: &changed}})
	assert.Assert(t, before.teams["a"] == after.teams["a"] && before.fleet == after.fleet)
	assert.Equal(t, after.Generation(), before.Generation()+1)
	assert.Equal(t, before.Version(TeamSubject("b")), uint64(1))
	assert.Equal(t, after.Version(TeamSubject("b")), uint64(2))
	_, ok := after.TeamByKey("key of b")
	assert.Assert(t, !ok)
	_, ok = before.TeamByKey("key of b")
	assert.Assert(t, ok)
	team, ok := after.TeamByKey("new")
	assert.Assert(t, ok && team.Team.Share == 2)
}

func TestRemovedTeamHasNoKeys(t *testing.T) {
	after := newTestSnapshot(t, "a", "b").with([]change{{subject: TeamSubject("b"), version: 2}})
	_, ok := after.TeamByKey("key of b")
	assert.Assert(t, !ok)
	assert.Equal(t, after.Version(TeamSubject("b")), uint64(2))
	assert.DeepEqual(t, after.TeamNames(), []string{"a"})
}

// TestKeyOfTwoTeams checks that the owner of a key that two publishers gave to
// different teams does not depend on the order of their changes.
func TestKeyOfTwoTeams(t *testing.T) {
	sharing := func(name string) change {
		sharer := testTeam(name, 1)
		sharer.KeyDigests = []string{team.DigestOf("shared").String()}
		return change{subject: TeamSubject(name), version: 1, team: &sharer}
	}
	for _, order := range [][]string{{"b", "c"}, {"c", "b"}} {
		snapshot := newTestSnapshot(t, "a").with([]change{sharing(order[0]), sharing(order[1])})
		team, ok := snapshot.TeamByKey("shared")
		assert.Assert(t, ok && team.Name() == "b")
		assert.Equal(t, len(snapshot.Conflicts()), 1)
		remaining := snapshot.with([]change{{subject: TeamSubject("b"), version: 2}})
		team, ok = remaining.TeamByKey("shared")
		assert.Assert(t, ok && team.Name() == "c")
		assert.Equal(t, len(remaining.Conflicts()), 0)
	}
}

func TestConflictsReportDanglingReferences(t *testing.T) {
	fleet := testFleet()
	fleet.Models = nil
	after := newTestSnapshot(t, "a").with([]change{{subject: FleetSubject, version: 2, fleet: &fleet}})
	conflicts := after.Conflicts()
	assert.Equal(t, len(conflicts), 1)
	assert.Equal(t, conflicts[0].Path, "team/a.classes[0].model")
}
