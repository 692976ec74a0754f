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
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 200 * time.Millisecond
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
	service    logservice.Service
	fold       *Fold
	nextOffset uint64
	// firstOffset is the oldest offset that the log still keeps.
	firstOffset uint64
}

func newReader(service logservice.Service, fold *Fold) *reader {
	return &reader{service: service, fold: fold}
}

// readToHead reads up to the head of the log and returns the entries.
func (r *reader) readToHead(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	for {
		page, err := r.read(ctx, 0)
		if err != nil {
			return entries, err
		}
		entries = append(entries, r.applyPage(page)...)
		if r.nextOffset >= page.NextOffset {
			return entries, nil
		}
	}
}

// readMore waits for further entries. Failed reads are repeated until the context ends.
func (r *reader) readMore(ctx context.Context, wait time.Duration) ([]Entry, error) {
	for {
		page, err := r.read(ctx, wait)
		if err == nil {
			return r.applyPage(page), nil
		}
		if sleep(ctx, readRetryDelay) != nil {
			return nil, err
		}
	}
}

func (r *reader) read(ctx context.Context, wait time.Duration) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return r.service.Read(ctx, Stream, r.nextOffset, readLimit, wait)
}

// applyPage folds the records of a page.
func (r *reader) applyPage(page logservice.Page) []Entry {
	r.firstOffset = page.FirstOffset
	r.nextOffset = max(r.nextOffset, page.FirstOffset)
	var entries []Entry
	for _, logged := range page.Records {
		if logged.Offset < r.nextOffset {
			continue
		}
		entries = append(entries, r.apply(logged))
		r.nextOffset = logged.Offset + 1
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
	entries, err := r.readToHead(ctx)
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
