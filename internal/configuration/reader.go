package configuration

import (
	"context"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

const (
	// readLimit is the number of records per read.
	readLimit = 500
	// readTimeout bounds one read beyond its wait.
	readTimeout = 5 * time.Second
	// readPause is the pause after a failed read.
	readPause = 200 * time.Millisecond
)

// Entry is a record of the log with what became of it.
type Entry struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	// ID is the record id in the log.
	ID string `json:"id"`
	// Record is empty if Err is set.
	Record  Record  `json:"record"`
	Outcome Outcome `json:"outcome"`
	// Err says why the record is not readable.
	Err error `json:"-"`
}

// reader folds the configuration stream on its own, for tools.
type reader struct {
	service logservice.Service
	fold    *Fold
	next    uint64
	// first is the oldest offset that the log still keeps.
	first uint64
}

func newReader(service logservice.Service, fold *Fold) *reader {
	return &reader{service: service, fold: fold}
}

// toHead reads up to the head of the log and returns the entries.
func (r *reader) toHead(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	for {
		page, err := r.read(ctx, 0)
		if err != nil {
			return entries, err
		}
		entries = append(entries, r.take(page)...)
		if r.next >= page.NextOffset {
			return entries, nil
		}
	}
}

// more waits for further entries. Failed reads are repeated until the context ends.
func (r *reader) more(ctx context.Context, wait time.Duration) ([]Entry, error) {
	for {
		page, err := r.read(ctx, wait)
		if err == nil {
			return r.take(page), nil
		}
		if sleep(ctx, readPause) != nil {
			return nil, err
		}
	}
}

func (r *reader) read(ctx context.Context, wait time.Duration) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return r.service.Read(ctx, Stream, r.next, readLimit, wait)
}

// take folds the records of a page.
func (r *reader) take(page logservice.Page) []Entry {
	r.first = page.FirstOffset
	r.next = max(r.next, page.FirstOffset)
	var entries []Entry
	for _, logged := range page.Records {
		if logged.Offset < r.next {
			continue
		}
		entries = append(entries, r.apply(logged))
		r.next = logged.Offset + 1
	}
	return entries
}

func (r *reader) apply(logged logservice.Record) Entry {
	entry := Entry{Offset: logged.Offset, Time: logged.Time, ID: logged.ID}
	entry.Record, entry.Err = DecodeRecord(logged.Data)
	if entry.Err == nil {
		entry.Outcome = r.fold.Apply(entry.Record, logged.Offset)
	}
	return entry
}

// ReadAll folds the whole log and returns its state and entries.
func ReadAll(ctx context.Context, service logservice.Service) (*Fold, []Entry, error) {
	r := newReader(service, NewFold())
	entries, err := r.toHead(ctx)
	return r.fold, entries, err
}

func sleep(ctx context.Context, period time.Duration) error {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
