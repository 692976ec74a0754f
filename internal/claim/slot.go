package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// slot is this VM's state of one slot of its own zone, as owner or standby.
type slot struct {
	// ownerLock serializes the owner's work, including its calls to peers. It
	// is a channel, so that waiting for it can end with a context.
	ownerLock chan struct{}

	// mu guards the fields below and is never held during a call.
	mu sync.Mutex
	// promised is the highest epoch number that this VM has accepted,
	// promisedTo the owner of that epoch.
	promised   uint64
	promisedTo string
	// promiseSuperseded is set if a promise whose epoch may have begun was
	// superseded by a promise to another VM, so that promisedTo does not name
	// every possible owner.
	promiseSuperseded bool
	// epoch is the last one in which this VM was owner or standby; nil if none.
	epoch   *claimv1.Epoch
	entries map[string]*claimv1.AnswerEntry
	// completeFrom is the time after which every key that was used has an
	// entry.
	completeFrom time.Time
}

func newSlot() *slot { return &slot{ownerLock: make(chan struct{}, 1)} }

// lock acquires ownerLock; it reports false if the context ends first.
func (s *slot) lock(ctx context.Context) bool {
	select {
	case s.ownerLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slot) unlock() { <-s.ownerLock }

// slotName is the name of a slot for rendezvous hashing.
func slotName(zone string, number int) string {
	return "answers-" + zone + "-" + strconv.Itoa(number)
}

// promise accepts an epoch number and reports whether it did; from then on
// earlier epochs are refused.
func (s *slot) promise(number uint64, vm string) bool {
	if number < s.promised || number == s.promised && vm != s.promisedTo {
		return false
	}
	if s.promised > s.epoch.GetNumber() && s.promisedTo != vm {
		s.promiseSuperseded = true
	}
	s.promised = number
	s.promisedTo = vm
	return true
}

// holds reports whether this VM still takes part in an epoch.
func (s *slot) holds(epoch *claimv1.Epoch) bool {
	return epoch != nil && s.epoch.GetNumber() == epoch.GetNumber() && s.promised == epoch.GetNumber() && s.promisedTo == epoch.GetOwner()
}

// relinquish gives up the ownership of an epoch whose standby did not accept a
// change, so that the next update takes the slot over again.
func (s *slot) relinquish(epoch *claimv1.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holds(epoch) {
		s.promisedTo = ""
	}
}

// takeOverResponse returns this VM's state and promise for a new owner.
func (s *slot) takeOverResponse(vm string) *claimv1.TakeOverResponse {
	promisedTo := s.promisedTo
	if s.promiseSuperseded {
		promisedTo = ""
	}
	return &claimv1.TakeOverResponse{
		Promised:   s.promised,
		PromisedTo: promisedTo,
		Vm:         vm,
		State:      s.state(),
	}
}

// state returns a copy of the slot's state for a new owner.
func (s *slot) state() *claimv1.SlotState {
	state := &claimv1.SlotState{CompleteFromMs: s.completeFrom.UnixMilli()}
	if s.epoch == nil {
		return state
	}
	state.Epoch = proto.CloneOf(s.epoch)
	state.Entries = make([]*claimv1.AnswerEntry, 0, len(s.entries))
	for _, entry := range s.entries {
		state.Entries = append(state.Entries, proto.CloneOf(entry))
	}
	return state
}

// replace sets the whole state at the beginning of an epoch.
func (s *slot) replace(epoch *claimv1.Epoch, state *claimv1.SlotState) {
	s.epoch = epoch
	s.promiseSuperseded = false
	s.completeFrom = time.UnixMilli(state.GetCompleteFromMs())
	s.entries = make(map[string]*claimv1.AnswerEntry, len(state.GetEntries()))
	for _, entry := range state.GetEntries() {
		s.entries[answerKey(entry)] = entry
	}
}

// evict removes entries whose keys were issued before the given time.
func (s *slot) evict(before time.Time) {
	for key, entry := range s.entries {
		parsed, err := ParseKey(Key{Team: entry.GetTeam(), Key: entry.GetKey()})
		if err != nil || parsed.Issued.Before(before) {
			delete(s.entries, key)
		}
	}
}

// answerKey returns the key of an entry as one string.
func answerKey(entry *claimv1.AnswerEntry) string {
	return Key{Team: entry.GetTeam(), Key: entry.GetKey()}.text()
}
