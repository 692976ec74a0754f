package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// plan holds the changes that a bundle makes to a state.
type plan struct {
	// records are the publishes of the changed subjects.
	records []Record
	// refused are the results of changes whose base is not the current version.
	refused []Result
}

// Result is the outcome of the change of one subject.
type Result struct {
	Subject string `json:"subject"`
	// Version is the version that was published, or that is in force if the
	// change was refused.
	Version  uint64 `json:"version"`
	Accepted bool   `json:"accepted"`
	// Winner is the publisher of the version in force if the change was refused.
	Winner string `json:"winner,omitempty"`
	// Differences lists the values that differ between the version in force and a
	// refused change.
	Differences []Difference `json:"differences,omitempty"`
}

// planner builds a plan.
type planner struct {
	fold      *Fold
	bundle    Bundle
	publisher string
	plan      plan
}

// newPlan returns the changes that a valid bundle makes to a state.
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

// add plans the change of a subject to a document, unless the document is in force
// already. A nil document removes the subject.
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

// same reports whether a record would leave its subject unchanged.
func same(current, record Record) bool {
	if current.Version == 0 || current.Removed {
		return record.Removed
	}
	return !record.Removed && bytes.Equal(normalised(current), normalised(record))
}

// normalised returns the document as this program encodes it, so that formatting
// does not count as a difference.
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

// refusal returns the result of a change that was refused in favour of the current
// version.
func refusal(record Record, current Current) Result {
	return Result{
		Subject:     record.Subject,
		Version:     current.Version,
		Winner:      current.Record.Publisher,
		Differences: diff(current.Record.Document, record.Document),
	}
}

// addRemovals plans the removal of the teams that the bundle lists in BasedOn but
// not in Teams. A team in force that the bundle lists in neither is a finding,
// because omitting a team by mistake must not remove it.
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

// BundleOf returns a bundle that holds the documents of the given versions and is
// based on them.
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
