package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// readBackWait bounds one wait for records while a publish is read back.
const readBackWait = time.Second

// Publisher publishes bundles. It reports a change as accepted only after it has
// read the record back from the log with the outcome Accepted.
type Publisher struct {
	service  logservice.Service
	appender Appender
	name     string
	seeds    []Record
	rule     acceptanceRule
}

// NewPublisher returns a Publisher. The name is shown to publishers whose changes
// are refused because of this Publisher's changes.
func NewPublisher(service logservice.Service, appender Appender, name string) *Publisher {
	return &Publisher{service: service, appender: appender, name: name, rule: decide}
}

// Seed adds the state of a VM, as re-appends, to the state that is read from the
// log. It is needed if the log no longer holds all current versions.
func (p *Publisher) Seed(records []Record) { p.seeds = append(p.seeds, records...) }

// Report is the outcome of a publish.
type Report struct {
	// Results are the outcomes of the changed subjects; empty if the bundle
	// changes nothing.
	Results []Result `json:"results"`
	// Conflicts are the findings of Snapshot.Conflicts after the publish.
	Conflicts []finding.Finding `json:"conflicts,omitempty"`
}

// Accepted reports whether no change was refused.
func (r Report) Accepted() bool {
	for _, result := range r.Results {
		if !result.Accepted {
			return false
		}
	}
	return true
}

// Publish publishes the changes that a bundle makes. A bundle that is not valid,
// or of which any change is based on a superseded version, is refused as a whole.
// The log alone decides the outcome of a change; changes of one bundle may have
// different outcomes if others publish concurrently.
//
// An Unconfirmed error means that the outcome is not known; publishing the same
// bundle again is safe.
func (p *Publisher) Publish(ctx context.Context, bundle Bundle) (Report, error) {
	if err := Validate(bundle); err != nil {
		return Report{}, err
	}
	r := newReader(p.service, newFold(p.rule))
	if err := p.load(ctx, r); err != nil {
		return Report{}, err
	}
	changes, err := newPlan(r.fold, bundle, p.name)
	if err != nil {
		return Report{}, err
	}
	if len(changes.refused) > 0 || len(changes.records) == 0 {
		return Report{Results: changes.refused}, nil
	}
	return p.commit(ctx, r, changes.records)
}

// load replays the log up to its head and applies the seeds.
func (p *Publisher) load(ctx context.Context, r *reader) error {
	if _, err := r.readToHead(ctx); err != nil {
		return NotPublished.Wrap(err, "reading the log")
	}
	for _, seed := range p.seeds {
		r.fold.Apply(seed, 0)
	}
	if _, ok := r.fold.Get(FleetSubject); !ok && r.firstOffset > 0 {
		return Incomplete.New("the log no longer holds records below offset %d and has no fleet document", r.firstOffset)
	}
	return nil
}

// commit appends records and reads their outcomes back.
func (p *Publisher) commit(ctx context.Context, r *reader, records []Record) (Report, error) {
	sent, entries, err := prepare(records)
	if err != nil {
		return Report{}, err
	}
	cause := sent.dropNotAppended(p.appender.AppendAll(ctx, Stream, logservice.PurposeConfiguration, entries))
	for !sent.allDecided() {
		read, err := r.readMore(ctx, readBackWait)
		if err != nil {
			return sent.report(r.fold), Unconfirmed.Wrap(err, "%d of %d changes were not read back", sent.undecided, len(records))
		}
		sent.observe(read, r.fold)
	}
	if cause != nil {
		return sent.report(r.fold), NotPublished.Wrap(cause, "%d of %d changes were not appended", sent.notAppended, len(records))
	}
	return sent.report(r.fold), nil
}

// sentRecords tracks the outcomes of appended records by their ids.
type sentRecords struct {
	records []Record
	byID    map[string]int
	results []Result
	// undecided is the number of records without an outcome.
	undecided int
	// notAppended is the number of records that are certainly not in the log.
	notAppended int
}

// prepare encodes each record as a log entry with a unique id.
func prepare(records []Record) (*sentRecords, []logservice.Entry, error) {
	sent := &sentRecords{
		records:   records,
		byID:      make(map[string]int, len(records)),
		results:   make([]Result, len(records)),
		undecided: len(records),
	}
	entries := make([]logservice.Entry, len(records))
	publish := uuid.NewString()
	for i, record := range records {
		data, err := record.Encode()
		if err != nil {
			return nil, nil, NotPublished.Wrap(err, "encoding")
		}
		id := fmt.Sprintf("publish.%s.%d", publish, i)
		sent.byID[id] = i
		entries[i] = logservice.Entry{ID: id, Data: data}
	}
	return sent, entries, nil
}

func (s *sentRecords) allDecided() bool { return s.undecided == 0 }

// dropNotAppended stops tracking the records that are certainly not in the log and
// returns the error of the first.
func (s *sentRecords) dropNotAppended(outcomes []logservice.Appended) error {
	var cause error
	for _, appended := range outcomes {
		if appended.Err == nil || !errorx.HasTrait(appended.Err, logservice.NotAppended) {
			continue
		}
		s.notAppended++
		s.undecided--
		if cause == nil {
			cause = appended.Err
		}
	}
	return cause
}

// observe stores the outcomes of the sent records that are among the entries. Only
// the first copy of a record counts, because any further copy is refused.
func (s *sentRecords) observe(entries []Entry, fold *Fold) {
	for _, entry := range entries {
		i, ok := s.byID[entry.ID]
		if !ok || s.results[i].Subject != "" {
			continue
		}
		s.undecided--
		record := s.records[i]
		if entry.Outcome == Accepted {
			s.results[i] = Result{Subject: record.Subject, Version: record.Version, Accepted: true}
			continue
		}
		current, _ := fold.Get(record.Subject)
		s.results[i] = refusal(record, current)
	}
}

// report lists the outcomes that are known.
func (s *sentRecords) report(fold *Fold) Report {
	var report Report
	for _, result := range s.results {
		if result.Subject != "" {
			report.Results = append(report.Results, result)
		}
	}
	report.Conflicts = fold.snapshot().Conflicts()
	return report
}

// snapshot compiles the state into a Snapshot.
func (f *Fold) snapshot() *Snapshot {
	all := f.All()
	changes := make([]change, len(all))
	for i, current := range all {
		changes[i] = current.change()
	}
	return (*Snapshot)(nil).with(changes)
}
