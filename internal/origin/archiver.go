package origin

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
)

// appendPauses bound the pauses between failed appends of an archiver.
var appendPauses = cooldown.Bounds{First: appendPeriod, Longest: 4 * time.Second}

// archiver appends the records of all VMs of its zone to the archive. It makes no call while it
// gets no records.
type archiver struct {
	archive  Archive
	log      *decisionlog.Log
	clock    func() time.Time
	counters *Counters
	wake     chan struct{}

	mu sync.Mutex
	// pending are calls whose records were not yet appended.
	pending []*pendingCall
	records int
	// failures paces appends after failures.
	failures cooldown.Cooldown
	stopped  bool
}

// pendingCall is a call whose records wait for an append.
type pendingCall struct {
	records []Origin
	// done receives the outcome; it has room for it.
	done chan appendOutcome
}

type appendOutcome struct {
	era uint64
	err error
}

func newArchiver(params *Params, counters *Counters) *archiver {
	return &archiver{
		archive: params.Archive, log: params.Log, clock: params.Clock, counters: counters, wake: make(chan struct{}, 1),
	}
}

// append waits until records are in the archive, and returns the archive's era.
func (a *archiver) append(ctx context.Context, records []Origin) (uint64, error) {
	call := &pendingCall{records: records, done: make(chan appendOutcome, 1)}
	if err := a.enqueue(call); err != nil {
		return 0, err
	}
	select {
	case outcome := <-call.done:
		return outcome.era, outcome.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (a *archiver) enqueue(call *pendingCall) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.stopped:
		return NotArchived.New("this VM stops")
	case !a.failures.Over(a.clock()):
		return NotArchived.New("the last append of this VM failed")
	case a.records+len(call.records) > maxPending:
		a.counters.ArchiveRefused.Add(1)
		return TooMany.New("%d records wait, at most %d are accepted", a.records, maxPending)
	}
	a.pending = append(a.pending, call)
	a.records += len(call.records)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// run appends records until ctx ends.
func (a *archiver) run(ctx context.Context) {
	defer a.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		a.appendPending(ctx)
	}
}

// appendPending appends until no records wait or ctx ends. Calls that were taken always get an
// outcome.
func (a *archiver) appendPending(ctx context.Context) {
	for ctx.Err() == nil {
		calls := a.take()
		if len(calls) == 0 {
			return
		}
		a.appendCalls(ctx, calls)
		background.Pause(ctx, appendPeriod)
	}
}

// stop fails the calls that wait.
func (a *archiver) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, call := range a.pending {
		call.done <- appendOutcome{err: NotArchived.New("this VM stops")}
	}
	a.pending = nil
}

// take returns the calls whose records fit into one append, in the order of their arrival.
func (a *archiver) take() []*pendingCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	size, n := 0, 0
	for n < len(a.pending) {
		for i := range a.pending[n].records {
			size += a.pending[n].records[i].encodedBytes()
		}
		if n > 0 && size > maxAppendBytes {
			break
		}
		a.records -= len(a.pending[n].records)
		n++
	}
	taken := a.pending[:n:n]
	a.pending = a.pending[n:]
	if len(a.pending) == 0 {
		a.pending = nil
	}
	return taken
}

// encodedBytes estimates the encoded size of a record beside others of its service and build.
func (o *Origin) encodedBytes() int { return originBytes + len(o.Stream) }

// appendCalls makes one append and reports its outcome.
func (a *archiver) appendCalls(ctx context.Context, calls []*pendingCall) {
	var records []Origin
	for _, call := range calls {
		records = append(records, call.records...)
	}
	a.counters.Appends.Add(1)
	era, err := a.archive.Append(ctx, time.Now(), records)
	a.note(err, len(records))
	for _, call := range calls {
		call.done <- appendOutcome{era, err}
	}
}

// note counts and logs the outcome of an append.
func (a *archiver) note(err error, records int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.counters.Appended.Add(int64(records))
		a.failures = cooldown.Cooldown{}
		return
	}
	a.counters.AppendsFailed.Add(1)
	a.failures.Extend(a.clock(), appendPauses)
	a.log.Change("records of streams' builds not appended", logrus.Fields{"records": records, "error": err.Error()})
}
