package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// record is the machine's state about one VM.
type record struct {
	update
	// since is the time at which the incarnation entered the state of the update.
	since time.Time
	// window holds the sequence numbers received from this incarnation.
	window replayWindow
	// reported is the state last returned by takeChanges, empty if none.
	reported membership.State
	// reportedDraining is the draining flag last returned by takeChanges.
	reportedDraining bool
}

// replayWindow records which of the latest sequence numbers were received.
type replayWindow struct {
	highest uint64
	// seen has one bit per sequence number; bit i stands for highest-i.
	seen uint64
}

// windowBits is the number of sequence numbers that a window covers.
const windowBits = 64

// accept records a sequence number and reports whether it is new. Numbers below
// the window count as received.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.seen = w.seen<<min(sequence-w.highest, windowBits) | 1
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= windowBits || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}
