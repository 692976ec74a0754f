package logservice

import (
	"cmp"
	"context"
	"expvar"
	"time"
)

// Gap is a range of offsets whose records the log no longer retains.
type Gap struct {
	// From is the first missing offset; To is the first offset after the gap.
	From, To uint64
}

// Batch is the result of one read of a Tailer.
type Batch struct {
	// Records have consecutive offsets. They start at Next of the previous batch,
	// or at Gap.To if Gap is set.
	Records []Record
	// Gap is set if records were removed from the log before they could be read.
	Gap *Gap
	// Next is the offset at which the next batch starts.
	Next uint64
	// Head is the offset that the next appended record will get.
	Head uint64
	// CaughtUp reports whether all records below Head have been delivered.
	CaughtUp bool
	// Time is the log service's clock at the read.
	Time time.Time
}

// TailerOptions configure a Tailer. Zero values stand for the defaults.
type TailerOptions struct {
	// Stream is the stream to read.
	Stream string
	// From is the first offset to read.
	From uint64
	// Limit is the number of records per read; default 500.
	Limit int
	// Wait bounds how long a read waits for new records; default 5 s.
	Wait time.Duration
	// Timeout is the time allowed for a read in addition to the time that it waits
	// for records; default 2 s.
	Timeout time.Duration
	// MaxBackoff bounds the backoff after failed reads, which starts at 50 ms and
	// doubles; default 1 s.
	MaxBackoff time.Duration
}

const (
	defaultTailLimit      = 500
	defaultTailWait       = 5 * time.Second
	defaultTailTimeout    = 2 * time.Second
	defaultTailMaxBackoff = time.Second
	initialTailBackoff    = 50 * time.Millisecond
)

func (o TailerOptions) withDefaults() TailerOptions {
	o.Limit = cmp.Or(o.Limit, defaultTailLimit)
	o.Wait = cmp.Or(o.Wait, defaultTailWait)
	o.Timeout = cmp.Or(o.Timeout, defaultTailTimeout)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultTailMaxBackoff)
	return o
}

// Tailer follows a stream. It delivers each retained record exactly once, in the
// order of offsets.
type Tailer struct {
	service  Service
	options  TailerOptions
	next     uint64
	counters tailCounters
}

type tailCounters struct {
	records, failures, gaps, malformed expvar.Int
}

// NewTailer returns a Tailer. It reads nothing before Run is called.
func NewTailer(service Service, options TailerOptions) *Tailer {
	options = options.withDefaults()
	return &Tailer{service: service, options: options, next: options.From}
}

// Vars returns the counters of the Tailer.
func (t *Tailer) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("records", &t.counters.records)
	vars.Set("failed_reads", &t.counters.failures)
	vars.Set("gaps", &t.counters.gaps)
	vars.Set("malformed_pages", &t.counters.malformed)
	return vars
}

// Run reads until ctx is done and returns the error of ctx. It calls handle
// sequentially after each successful read, even if the read returned no new
// records.
func (t *Tailer) Run(ctx context.Context, handle func(Batch)) error {
	wait := time.Duration(0)
	backoff := initialTailBackoff
	for ctx.Err() == nil {
		page, err := t.read(ctx, wait)
		if err != nil {
			t.counters.failures.Add(1)
			_ = pause(ctx, backoff)
			backoff = min(2*backoff, t.options.MaxBackoff)
			continue
		}
		backoff = initialTailBackoff
		batch := t.accept(page)
		handle(batch)
		wait = t.options.Wait
	}
	return ctx.Err()
}

func (t *Tailer) read(ctx context.Context, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+t.options.Timeout)
	defer cancel()
	page, err := t.service.Read(ctx, t.options.Stream, t.next, t.options.Limit, wait)
	if err != nil {
		return Page{}, err
	}
	if page.NextOffset < t.next || page.FirstOffset > page.NextOffset {
		t.counters.malformed.Add(1)
		return Page{}, Unreadable.New("the log returned offsets %d to %d for a read at offset %d",
			page.FirstOffset, page.NextOffset, t.next)
	}
	return page, nil
}

// accept advances the position over the records of a page. Records that were
// already delivered are skipped. At a missing offset it stops; the next read
// starts there.
func (t *Tailer) accept(page Page) Batch {
	batch := Batch{Head: page.NextOffset, Time: page.Time}
	if page.FirstOffset > t.next {
		batch.Gap = &Gap{From: t.next, To: page.FirstOffset}
		t.counters.gaps.Add(1)
		t.next = page.FirstOffset
	}
	for _, record := range page.Records {
		if record.Offset < t.next {
			continue
		}
		if record.Offset > t.next {
			t.counters.malformed.Add(1)
			break
		}
		batch.Records = append(batch.Records, record)
		t.next++
	}
	t.counters.records.Add(int64(len(batch.Records)))
	batch.Next = t.next
	batch.CaughtUp = t.next >= page.NextOffset
	return batch
}
