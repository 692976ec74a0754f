package configuration

import (
	"crypto/subtle"
	"maps"
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

// Snapshot is an immutable view of the configuration in force. It is safe for
// concurrent use without locks; callers must not change what it returns.
type Snapshot struct {
	generation uint64
	fleet      *compiledFleet
	teams      map[string]*CompiledTeam
	keys       map[team.Digest]claimants
	versions   map[string]uint64
}

// NewSnapshot compiles a whole bundle. Every subject gets version 1. The error
// reports all findings of Validate.
func NewSnapshot(bundle Bundle) (*Snapshot, error) {
	if err := Validate(bundle); err != nil {
		return nil, err
	}
	changes := []change{{subject: FleetSubject, version: 1, fleet: &bundle.Fleet}}
	for i := range bundle.Teams {
		team := &bundle.Teams[i]
		changes = append(changes, change{subject: TeamSubject(team.Name), version: 1, team: team})
	}
	return (*Snapshot)(nil).with(changes), nil
}

// change is the new state of one subject. A nil team in the change of a team's
// subject removes the team.
type change struct {
	subject string
	version uint64
	fleet   *Fleet
	team    *Team
}

// with returns a snapshot with changes applied. Only changed subjects are
// compiled; all others are shared with the receiver, which may be nil.
func (s *Snapshot) with(changes []change) *Snapshot {
	next := s.clone()
	for _, c := range changes {
		next.apply(c)
	}
	next.generation++
	return next
}

func (s *Snapshot) clone() *Snapshot {
	if s == nil {
		return &Snapshot{
			fleet:    compileFleet(&Fleet{}),
			teams:    make(map[string]*CompiledTeam),
			keys:     make(map[team.Digest]claimants),
			versions: make(map[string]uint64),
		}
	}
	return &Snapshot{
		generation: s.generation,
		fleet:      s.fleet,
		teams:      maps.Clone(s.teams),
		keys:       maps.Clone(s.keys),
		versions:   maps.Clone(s.versions),
	}
}

func (s *Snapshot) apply(c change) {
	s.versions[c.subject] = c.version
	if c.subject == FleetSubject {
		s.fleet = compileFleet(c.fleet)
		return
	}
	name, _ := teamOfSubject(c.subject)
	if old, ok := s.teams[name]; ok {
		s.removeKeys(old)
		delete(s.teams, name)
	}
	if c.team == nil {
		return
	}
	compiled := compileTeam(c.team)
	s.teams[name] = compiled
	s.addKeys(compiled)
}

func (s *Snapshot) removeKeys(team *CompiledTeam) {
	for _, digest := range team.digests {
		remaining := s.keys[digest].without(team.Name())
		if len(remaining) == 0 {
			delete(s.keys, digest)
			continue
		}
		s.keys[digest] = remaining
	}
}

func (s *Snapshot) addKeys(team *CompiledTeam) {
	for _, digest := range team.digests {
		s.keys[digest] = s.keys[digest].with(team)
	}
}

// TeamByKey returns the team that a bearer key belongs to.
func (s *Snapshot) TeamByKey(bearer string) (*CompiledTeam, bool) {
	digest := team.DigestOf(bearer)
	claims := s.keys[digest]
	if len(claims) == 0 {
		return nil, false
	}
	return claims[0], claims[0].hasDigest(digest)
}

// hasDigest reports whether the digest is one of the team's. It compares with all
// of them in constant time.
func (t *CompiledTeam) hasDigest(digest team.Digest) bool {
	found := 0
	for i := range t.digests {
		found |= subtle.ConstantTimeCompare(t.digests[i][:], digest[:])
	}
	return found == 1
}

// Team returns a team by name.
func (s *Snapshot) Team(name string) (*CompiledTeam, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// TeamNames returns the names of all teams, sorted.
func (s *Snapshot) TeamNames() []string { return slices.Sorted(maps.Keys(s.teams)) }

// Endpoint returns an endpoint by name.
func (s *Snapshot) Endpoint(name string) (*Endpoint, bool) {
	endpoint, ok := s.fleet.endpoints[name]
	return endpoint, ok
}

// Engines returns the engines of a model and role in a zone, or in all zones if
// zone is empty.
func (s *Snapshot) Engines(model string, role Role, zone string) []*Endpoint {
	return s.fleet.engines[poolKey{model, role, zone}]
}

// Plain returns the instances of a plain service in a zone, or in all zones if
// zone is empty.
func (s *Snapshot) Plain(service, zone string) []*Endpoint {
	return s.fleet.plain[serviceKey{service, zone}]
}

// Model returns a model by name.
func (s *Snapshot) Model(name string) (*Model, bool) {
	model, ok := s.fleet.models[name]
	return model, ok
}

// VM returns an entry VM by name.
func (s *Snapshot) VM(name string) (*VM, bool) {
	vm, ok := s.fleet.vms[name]
	return vm, ok
}

// Fleet returns the fleet document.
func (s *Snapshot) Fleet() *Fleet { return s.fleet.fleet }

// Version returns the version of a subject, 0 if it was never published.
func (s *Snapshot) Version(subject string) uint64 { return s.versions[subject] }

// Subjects returns all subjects that have a version, including removed teams,
// sorted.
func (s *Snapshot) Subjects() []string { return slices.Sorted(maps.Keys(s.versions)) }

// Generation increases with every snapshot of this process. It is not comparable
// between processes.
func (s *Snapshot) Generation() uint64 { return s.generation }
