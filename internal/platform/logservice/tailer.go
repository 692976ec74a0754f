package logservice

import (
	"cmp"
	"context"
	"expvar"
	"time"
)

// Gap is a range of offsets whose records the log no longer keeps.
type Gap struct {
	// From is the first missing offset and To the first one after it.
	From, To uint64
}

// Batch is what one read of a Tailer brought.
type Batch struct {
	// Records follow each other without a hole, from the offset after the last
	// record of the batch before, or from Gap.To.
	Records []Record
	// Gap is set if records expired before they could be read.
	Gap *Gap
	// Next is the offset that the next batch starts at.
	Next uint64
	// Head is the offset that the log's next record will get.
	Head uint64
	// CaughtUp says that everything below Head has been delivered.
	CaughtUp bool
	// Time is the log service's clock at the read.
	Time time.Time
}

// TailerOptions configure a Tailer. Zero values stand for the defaults.
type TailerOptions struct {
	// Stream is the stream to read.
	Stream string
	// From is the first offset wanted.
	From uint64
	// Limit is the number of records per read; default 500.
	Limit int
	// Wait bounds a read's wait for new records; default 5 s.
	Wait time.Duration
	// Timeout bounds a read beyond Wait; default 2 s.
	Timeout time.Duration
	// MaxBackoff bounds the pause after failed reads, which starts at 50 ms and
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

// Tailer follows a stream. It delivers every record that is still kept exactly
// once and in the order of offsets.
type Tailer struct {
	service  Service
	options  TailerOptions
	next     uint64
	counters tailCounters
}

type tailCounters struct {
	records, failures, gaps, malformed expvar.Int
}

// NewTailer returns a Tailer that starts with Run.
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

// Run reads until the context ends and returns the context's error. It calls
// handle from one goroutine, also when a read brought nothing new.
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
		return Page{}, Unreadable.New("page of offsets %d to %d read at offset %d",
			page.FirstOffset, page.NextOffset, t.next)
	}
	return page, nil
}

// accept advances the position over a page's records. Records that were already
// delivered are skipped; what follows a hole is left for the next read.
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
