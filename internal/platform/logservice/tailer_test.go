package logservice_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
)

// TestTailerDeliversEachOffsetOnce checks under random appends, removals and
// outages that batches and gaps cover all offsets exactly once and in order.
func TestTailerDeliversEachOffsetOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 40).Draw(rt, "steps")
		from := rapid.Uint64Range(0, 2).Draw(rt, "from")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = checkTailer(t, steps, from) })
		assert.NilError(rt, failure)
	})
}

func checkTailer(t *testing.T, steps []int, from uint64) error {
	log := logtest.New(logtest.Options{Latency: time.Millisecond})
	head := from + 10
	for i := range head {
		_, err := log.Append(t.Context(), stream, []logservice.Entry{entry(int(i))})
		assert.NilError(t, err)
	}
	tailer := logservice.NewTailer(log, logservice.TailerOptions{Stream: stream, From: from, Limit: 3})
	ctx, cancel := context.WithCancel(t.Context())
	seen := &coverage{next: from}
	done := make(chan error)
	go func() { done <- tailer.Run(ctx, seen.add) }()
	for _, step := range steps {
		head += applyStep(log, step, head)
	}
	log.SetAway(false)
	time.Sleep(time.Minute)
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	if seen.next != head || !seen.caughtUp {
		return fmt.Errorf("covered up to %d of %d, caught up: %t", seen.next, head, seen.caughtUp)
	}
	return seen.failure
}

// coverage checks that batches and gaps cover consecutive offsets.
type coverage struct {
	next     uint64
	caughtUp bool
	failure  error
}

func (c *coverage) add(batch logservice.Batch) {
	if batch.Gap != nil {
		c.expect(batch.Gap.From == c.next && batch.Gap.To > c.next, "gap %v at %d", *batch.Gap, c.next)
		c.next = batch.Gap.To
	}
	for _, record := range batch.Records {
		c.expect(record.Offset == c.next && record.ID == entry(int(c.next)).ID, "record %v at %d", record, c.next)
		c.next++
	}
	c.caughtUp = batch.CaughtUp
	c.expect(batch.Next == c.next && batch.CaughtUp == (c.next == batch.Head), "batch ends at %d, not %d", batch.Next, c.next)
}

func (c *coverage) expect(condition bool, format string, args ...any) {
	if !condition && c.failure == nil {
		c.failure = fmt.Errorf(format, args...)
	}
}

// applyStep performs one step and returns the number of records that it appended.
func applyStep(log *logtest.Log, step int, head uint64) uint64 {
	switch step {
	case 0:
		log.SetAway(true)
	case 1:
		log.SetAway(false)
	case 2:
		log.Trim(stream, head-min(head, 2))
	case 3:
		time.Sleep(7 * time.Second)
	default:
		_, err := log.Append(context.Background(), stream, []logservice.Entry{entry(int(head))})
		if err == nil {
			return 1
		}
	}
	return 0
}

// scriptedService is a Service that returns prepared pages and then blocks reads.
type scriptedService struct {
	logservice.Service
	pages []logservice.Page
	froms []uint64
}

func (s *scriptedService) Read(ctx context.Context, _ string, from uint64, _ int, _ time.Duration) (logservice.Page, error) {
	s.froms = append(s.froms, from)
	if len(s.pages) == 0 {
		<-ctx.Done()
		return logservice.Page{}, ctx.Err()
	}
	page := s.pages[0]
	s.pages = s.pages[1:]
	return page, nil
}

func TestTailerRereadsFromAMissingOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(offset uint64) logservice.Record {
			return logservice.Record{Offset: offset, Entry: entry(int(offset))}
		}
		service := &scriptedService{pages: []logservice.Page{
			{NextOffset: 4, Records: []logservice.Record{at(0), at(1), at(3)}},
			{NextOffset: 4, Records: []logservice.Record{at(1), at(2), at(3)}},
			{NextOffset: 2},
		}}
		seen := new(coverage)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, logservice.NewTailer(service, logservice.TailerOptions{}).Run(ctx, seen.add), context.DeadlineExceeded)
		assert.NilError(t, seen.failure)
		assert.DeepEqual(t, service.froms, []uint64{0, 2, 4, 4})
	})
}
