package engine

import (
	"cmp"
	"sync/atomic"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// stage is the stage of processing that an attempt is in.
type stage int

const (
	stageQueued stage = iota
	stagePrefill
	stageKept // prefilled, KV cache kept for export
	stageImport
	stageDecode
)

// cause is the reason why an attempt ended.
type cause int

const (
	// causeFinished: the attempt completed.
	causeFinished cause = iota
	// causeCancelled: a cancel call.
	causeCancelled
	// causeClosed: the connection was closed.
	causeClosed
	// causeRefused: the attempt was rejected before it ran.
	causeRefused
	// causeEvicted: the retention of the KV cache expired.
	causeEvicted
	// causeExported: a decode engine fetched the KV cache.
	causeExported
	// causeCrashed: the engine crashed.
	causeCrashed
)

// cancelled reports whether the caller cancelled or abandoned the attempt.
func (c cause) cancelled() bool { return c == causeCancelled || c == causeClosed }

// incarnation identifies one run of an entry VM's process.
type incarnation struct {
	vm     string
	number uint64
}

// attempt is the state of one attempt. Its fields are guarded by Engine.mu
// unless noted otherwise.
type attempt struct {
	// These fields do not change after admission.
	id           string
	owner        incarnation
	priority     int
	arrivalSeq   uint64
	promptHash   uint64 // of prompt and resumed tokens
	promptTokens int    // tokens of prompt and resumed tokens
	pieces       int    // size of the KV cache in memory pieces
	blockHashes  []string
	answer       Answer
	firstToken   int // index of the first token to decode

	stage stage
	// computedTokens is the number of prompt tokens computed for the attempt, by
	// this engine or the prefill engine. The others were cached.
	computedTokens int
	// kept is the KV cache after the prefill, kept for export.
	kept *keptKV
	// ready is closed when the attempt leaves the queue.
	ready chan struct{}
	// ended is closed when the attempt has ended. The cause is set before.
	ended    chan struct{}
	cause    cause
	released bool

	// produced is the index after the last decoded token. It is read without
	// Engine.mu.
	produced atomic.Int64
	// progress has a value in its buffer when produced has increased.
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

// notifyProgress signals newly decoded tokens to the goroutine that writes the
// stream.
func (a *attempt) notifyProgress() {
	select {
	case a.progress <- struct{}{}:
	default:
	}
}

// compareAttempts orders a queue by priority, the highest number first, then by
// arrival.
func compareAttempts(a, b *attempt) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrivalSeq, b.arrivalSeq))
}
