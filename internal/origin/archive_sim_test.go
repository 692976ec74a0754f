package origin

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errArchiveAway = errors.New("the archive is away")

// simArchive is an archive in memory.
type simArchive struct {
	mu      sync.Mutex
	batches []ArchiveBatch
	// first is the offset of the first retained batch.
	first uint64
	era   uint64
	// away makes calls fail, losing makes appends take effect without a response.
	away, losing bool
	// slow is the time that a call takes.
	slow time.Duration
	// appends and reads are the times of the calls.
	appends, reads []time.Time
}

func (a *simArchive) Append(ctx context.Context, at time.Time, origins []Origin) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.appends = append(a.appends, time.Now())
	if err := a.wait(ctx); err != nil {
		return 0, err
	}
	a.batches = append(a.batches, ArchiveBatch{At: at, Origins: origins})
	if a.losing {
		return 0, errArchiveAway
	}
	return a.era, nil
}

// wait takes the time of a call. The lock must be held.
func (a *simArchive) wait(ctx context.Context) error {
	slow := a.slow
	a.mu.Unlock()
	time.Sleep(slow)
	a.mu.Lock()
	if a.away {
		return errArchiveAway
	}
	return ctx.Err()
}

func (a *simArchive) Read(ctx context.Context, from uint64) (ArchivePage, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reads = append(a.reads, time.Now())
	if err := a.wait(ctx); err != nil {
		return ArchivePage{}, err
	}
	from = max(from, a.first)
	end := uint64(len(a.batches))
	from = min(from, end)
	return ArchivePage{Batches: a.batches[from:], Next: end, End: end, Era: a.era}, nil
}

func (a *simArchive) Era() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// set changes the archive under its lock.
func (a *simArchive) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

// calls returns the numbers of appends and reads.
func (a *simArchive) calls() (appends, reads int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.appends), len(a.reads)
}
