package configuration

import (
	"context"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

const (
	// readLimit is the maximum number of records per read.
	readLimit = 500
	// readTimeout bounds a read beyond its wait for new records.
	readTimeout = 5 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 200 * time.Millisecond
)

// Entry is a record of the log with its outcome.
type Entry struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	// ID is the record id in the log.
	ID string `json:"id"`
	// Record is empty if Err is set.
	Record  Record  `json:"record"`
	Outcome Outcome `json:"outcome"`
	// Err is the reason why the record could not be decoded.
	Err error `json:"-"`
}

// reader replays the configuration stream into a Fold without a Store, for tools
// that publish or list records.
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

// readToHead reads the log up to its head and returns the entries.
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

// readMore waits for further entries. Failed reads are retried until the context
// ends.
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

// applyPage applies the records of a page that were not applied before.
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

// ReadAll replays the whole log and returns the resulting state and all entries.
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
