package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// record is what the machine remembers of a VM.
type record struct {
	update
	// since is the time at which the state of the update began.
	since time.Time
	// window holds the message numbers received of this incarnation.
	window replayWindow
	// reported is the state that the machine's changes told last, empty if none.
	reported membership.State
	// reportedDraining is the draining flag told last.
	reportedDraining bool
}

// replayWindow remembers which of the latest message numbers were received.
type replayWindow struct {
	highest uint64
	// seen has a bit for each number from highest downwards.
	seen uint64
}

// windowBits is the number of message numbers that a window covers.
const windowBits = 64

// accept notes a message number and reports whether it is new. Numbers below
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
