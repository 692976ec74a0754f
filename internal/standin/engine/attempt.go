package engine

import (
	"cmp"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// stage is where an attempt is.
type stage int

const (
	stageQueued stage = iota
	stagePrefill
	stageKept
	stageImport
	stageDecode
)

// cause says why an attempt ended.
type cause int

const (
	// causeFinished: the work is done.
	causeFinished cause = iota
	// causeCancelled: a cancel call.
	causeCancelled
	// causeClosed: the connection was closed.
	causeClosed
	// causeRefused: nothing ran.
	causeRefused
	// causeEvicted: the retention of the KV cache ran out.
	causeEvicted
	// causeExported: a decode engine took the KV cache.
	causeExported
	// causeCrashed: the engine crashed.
	causeCrashed
)

// cancelled reports whether the requester gave the attempt up.
func (c cause) cancelled() bool { return c == causeCancelled || c == causeClosed }

// incarnation names a start of an entry VM's process.
type incarnation struct {
	vm     string
	number uint64
}

// attempt is the state of one attempt. Its fields are guarded by Engine.mu
// unless they say otherwise.
type attempt struct {
	// Fixed at arrival.
	id           string
	owner        incarnation
	priority     int
	arrivalSeq   uint64
	promptHash   uint64 // of prompt and resumed tokens
	promptTokens int    // tokens of prompt and resumed tokens
	pieces       int    // memory that the attempt takes
	blockHashes  []string
	answer       Answer
	firstToken   int // index of the first token to decode

	stage stage
	// computedTokens are the prompt's tokens that were or are computedTokens for the
	// attempt, here or on the prefill engine.
	computedTokens int
	// kept is the KV cache that waits for an export.
	kept *keptKV
	// ready is closed when the attempt leaves the queue.
	ready chan struct{}
	// ended is closed at the end, after cause was set.
	ended    chan struct{}
	cause    cause
	released bool

	// produced is the index after the last token decoded. It is atomic.
	produced atomic.Int64
	// progress holds a value when produced has grown.
	progress chan struct{}
}

func newAttempt(id engine.AttemptID, priority int) *attempt {
	return &attempt{
		id:       id.String(),
		owner:    incarnation{vm: id.VM, number: id.Incarnation},
		priority: priority,
		ready:    make(chan struct{}),
		ended:    make(chan struct{}),
		progress: make(chan struct{}, 1),
	}
}

// notifyProgress wakes the goroutine that writes the stream.
func (a *attempt) notifyProgress() {
	select {
	case a.progress <- struct{}{}:
	default:
	}
}

// compareAttempts orders a queue by priority, then by arrival.
func compareAttempts(a, b *attempt) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrivalSeq, b.arrivalSeq))
}
