package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// plan is what a bundle changes against a state.
type plan struct {
	// records are publishes of the changed subjects.
	records []Record
	// refused are the changes whose base is superseded already.
	refused []Result
}

// Result is what became of the change of one subject.
type Result struct {
	Subject string `json:"subject"`
	// Version is the version that was published, or that is in force if the
	// change was refused.
	Version  uint64 `json:"version"`
	Accepted bool   `json:"accepted"`
	// Winner names who published the version in force.
	Winner string `json:"winner,omitempty"`
	// Differences are what a refused change and the version in force disagree on.
	Differences []Difference `json:"differences,omitempty"`
}

// planner builds a plan.
type planner struct {
	fold      *Fold
	bundle    Bundle
	publisher string
	plan      plan
}

// newPlan compares a valid bundle with a state.
func newPlan(fold *Fold, bundle Bundle, publisher string) (plan, error) {
	p := planner{fold: fold, bundle: bundle, publisher: publisher}
	if err := p.add(FleetSubject, &bundle.Fleet); err != nil {
		return plan{}, err
	}
	for i := range bundle.Teams {
		if err := p.add(TeamSubject(bundle.Teams[i].Name), &bundle.Teams[i]); err != nil {
			return plan{}, err
		}
	}
	return p.plan, p.addRemovals()
}

// add plans a subject's document, nil for a removal, if it changes anything.
func (p *planner) add(subject string, document any) error {
	if p.fold.Behind(subject) {
		return Incomplete.New("the log no longer holds the version of %s that later publishes are based on", subject)
	}
	current, _ := p.fold.Get(subject)
	base, ok := p.bundle.BasedOn[subject]
	if !ok {
		base = current.Version
	}
	record, err := newPublish(subject, base, p.publisher, document)
	if err != nil {
		return err
	}
	switch {
	case same(current.Record, record):
	case base != current.Version:
		p.plan.refused = append(p.plan.refused, refusal(record, current))
	default:
		p.plan.records = append(p.plan.records, record)
	}
	return nil
}

// same reports whether a record would change nothing.
func same(current, record Record) bool {
	if current.Version == 0 || current.Removed {
		return record.Removed
	}
	return !record.Removed && bytes.Equal(normalised(current), normalised(record))
}

// normalised returns the document as this program writes it.
func normalised(record Record) []byte {
	var document any = record.team
	if record.fleet != nil {
		document = record.fleet
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return record.Document
	}
	return encoded
}

// refusal returns the result of a change that lost against the current version.
func refusal(record Record, current Current) Result {
	return Result{
		Subject:     record.Subject,
		Version:     current.Version,
		Winner:      current.Record.Publisher,
		Differences: diff(current.Record.Document, record.Document),
	}
}

// addRemovals plans the removal of the teams that the bundle was based on and no
// longer holds. A team in force that the bundle does not know of at all is a
// finding, because leaving a team out by mistake must not remove it.
func (p *planner) addRemovals() error {
	var report finding.Report
	listed := p.listed()
	for _, current := range p.fold.All() {
		subject := current.Record.Subject
		if current.Record.Removed || listed[subject] {
			continue
		}
		if _, ok := p.bundle.BasedOn[subject]; !ok {
			report.Addf("teams", "%s is in force but missing; to remove it list its version %d in based_on",
				subject, current.Version)
			continue
		}
		if err := p.add(subject, nil); err != nil {
			return err
		}
	}
	return report.Err()
}

func (p *planner) listed() map[string]bool {
	listed := map[string]bool{FleetSubject: true}
	for i := range p.bundle.Teams {
		listed[TeamSubject(p.bundle.Teams[i].Name)] = true
	}
	return listed
}

// BundleOf returns the documents of a state as a bundle that is based on it.
func BundleOf(versions []Current) Bundle {
	bundle := Bundle{Format: Format, BasedOn: make(map[string]uint64, len(versions))}
	for _, current := range versions {
		bundle.BasedOn[current.Record.Subject] = current.Version
		if current.Record.fleet != nil {
			bundle.Fleet = *current.Record.fleet
		}
		if current.Record.team != nil {
			bundle.Teams = append(bundle.Teams, *current.Record.team)
		}
	}
	return bundle
}
