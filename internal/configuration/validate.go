package configuration

import (
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// Validate checks a whole bundle and reports all findings by JSON path. It
// returns nil or a *finding.Error.
func Validate(bundle Bundle) error {
	c := new(checker)
	if bundle.Format != Format {
		c.Addf("format", "is %d, must be %d", bundle.Format, Format)
	}
	c.fleet("fleet", &bundle.Fleet)
	seen := namePaths{}
	for i := range bundle.Teams {
		path := index("teams", i)
		c.team(path, &bundle.Teams[i])
		c.unique(path+".name", bundle.Teams[i].Name, seen)
	}
	c.references(&bundle.Fleet, bundle.Teams)
	return c.Err()
}

// Conflicts checks the references between the documents in force. Documents are
// accepted one by one, so concurrent publishes can combine into a state that
// Validate would refuse in one bundle. There is no engine for a class whose model
// was removed, so its requests are refused; a key that two teams list belongs to
// the team that is first by name. Paths start with the subject of a document, for
// example "team/a.classes[0].model".
func (s *Snapshot) Conflicts() []finding.Finding {
	c := new(checker)
	fleet := newReferences(s.Fleet())
	for _, name := range s.TeamNames() {
		c.teamReferences(TeamSubject(name), s.teams[name].Team, fleet)
	}
	for digest, owners := range s.keys {
		for _, other := range owners[1:] {
			c.Addf(TeamSubject(other.Name())+".key_digests", "key %s belongs to team %s", digest, owners[0].Name())
		}
	}
	return c.Findings()
}

// references holds the values of the fleet document that classes refer to.
type references struct {
	models, services namePaths
	drainLimit       Duration
}

func newReferences(fleet *Fleet) references {
	r := references{models: namePaths{}, services: namePaths{}, drainLimit: fleet.Times.DrainLimit}
	for _, model := range fleet.Models {
		r.models[model.Name] = ""
	}
	for _, endpoint := range fleet.Endpoints {
		if endpoint.Kind == KindPlain {
			r.services[endpoint.Service] = ""
		}
	}
	return r
}

// references checks the references from teams to the fleet, and that no two teams
// share a key.
func (c *checker) references(fleet *Fleet, teams []Team) {
	known := newReferences(fleet)
	owners := map[team.Digest]string{}
	for i := range teams {
		path := index("teams", i)
		c.teamReferences(path, &teams[i], known)
		c.sharedKeys(path, &teams[i], owners)
	}
}

func (c *checker) sharedKeys(path string, t *Team, owners map[team.Digest]string) {
	for i, text := range t.KeyDigests {
		digest, ok := team.ParseDigest(text)
		if !ok {
			continue
		}
		owner, taken := owners[digest]
		if taken && owner != t.Name {
			c.Addf(index(path+".key_digests", i), "the key belongs to team %s", owner)
			continue
		}
		owners[digest] = t.Name
	}
}

func (c *checker) teamReferences(path string, team *Team, fleet references) {
	for i := range team.Classes {
		class := &team.Classes[i]
		classPath := index(path+".classes", i)
		if class.Model != "" {
			c.known(classPath+".model", "model", class.Model, fleet.models)
		}
		if class.Service != "" {
			c.known(classPath+".service", "service", class.Service, fleet.services)
		}
		c.withinDrainLimit(classPath+".targets.first_token", class.Targets.FirstToken, fleet.drainLimit)
		c.withinDrainLimit(classPath+".targets.between_tokens", class.Targets.BetweenTokens, fleet.drainLimit)
		c.withinDrainLimit(classPath+".targets.whole_answer", class.Targets.WholeAnswer, fleet.drainLimit)
	}
}

func (c *checker) withinDrainLimit(path string, target, drainLimit Duration) {
	if target > drainLimit {
		c.Addf(path, "is %s, longer than the drain limit of %s", target, drainLimit)
	}
}
