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

// Publisher publishes bundles. It says "accepted" only of records that it has
// read back as the winners of their versions.
type Publisher struct {
	service  logservice.Service
	appender Appender
	name     string
	seeds    []Record
	rule     acceptanceRule
}

// NewPublisher returns a Publisher. The name is shown to others whose publishes
// lose against this one.
func NewPublisher(service logservice.Service, appender Appender, name string) *Publisher {
	return &Publisher{service: service, appender: appender, name: name, rule: decide}
}

// Seed adds the state of a VM, as re-appends, to what the log holds. It is needed
// if the log has lost records.
func (p *Publisher) Seed(records []Record) { p.seeds = append(p.seeds, records...) }

// Report is what became of a publish.
type Report struct {
	// Results are the changed subjects; empty if the bundle changes nothing.
	Results []Result `json:"results"`
	// Conflicts are findings about what documents in force refer to in each
	// other after the publish.
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

// Publish publishes what a bundle changes. A bundle that is not valid, or of
// which any change is already superseded, is refused whole. The outcome of a
// change is decided by the log alone; changes of one bundle may have different
// outcomes if others publish at the same time.
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

// load folds the log and the seeds.
func (p *Publisher) load(ctx context.Context, r *reader) error {
	if _, err := r.readToHead(ctx); err != nil {
		return NotPublished.Wrap(err, "reading the log")
	}
	for _, seed := range p.seeds {
		r.fold.Apply(seed, 0)
	}
	if _, ok := r.fold.Get(FleetSubject); !ok && r.firstOffset > 0 {
		return Incomplete.New("the log has lost its records below offset %d and holds no fleet", r.firstOffset)
	}
	return nil
}

// commit appends records and reads them back.
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
		return sent.report(r.fold), NotPublished.Wrap(cause, "%d of %d changes", sent.notAppended, len(records))
	}
	return sent.report(r.fold), nil
}

// sentRecords follows the fate of appended records by their ids.
type sentRecords struct {
	records []Record
	byID    map[string]int
	results []Result
	// undecided is the number of records without an outcome.
	undecided int
	// notAppended is the number of records that are not in the log for certain.
	notAppended int
}

// prepare gives each record an id of its own.
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

// dropNotAppended takes out the records that are not in the log for certain and returns the
// error of the first.
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

// observe notes the outcome of the records that are among the entries. Only the
// first copy of a record counts; a further one is always refused.
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

// snapshot compiles the state.
func (f *Fold) snapshot() *Snapshot {
	all := f.All()
	changes := make([]change, len(all))
	for i, current := range all {
		changes[i] = current.change()
	}
	return (*Snapshot)(nil).with(changes)
}
