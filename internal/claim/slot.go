package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// slot is what this VM holds of one slot of its own zone, as owner or standby.
type slot struct {
	// ownerLock holds a token while the owner works, calls to peers included.
	ownerLock chan struct{}

	// mu guards the fields below and is never held during a call.
	mu sync.Mutex
	// promised is the highest epoch number that this VM has accepted, by whom.
	promised   uint64
	promisedTo string
	// promiseSuperseded says that a promise whose epoch may have begun was overtaken by
	// one to another VM, so that the present promise hides a possible owner.
	promiseSuperseded bool
	// epoch is the last one in which this VM was owner or standby; nil if none.
	epoch   *claimv1.Epoch
	entries map[string]*claimv1.AnswerEntry
	// completeFrom is the time after which every used key is an entry.
	completeFrom time.Time
}

func newSlot() *slot { return &slot{ownerLock: make(chan struct{}, 1)} }

// lock waits for the right to work as owner; it reports false if the context
// ends first.
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

// promise accepts a new epoch number; from then on earlier epochs are refused.
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

// holds reports whether an epoch is still the one that this VM takes part in.
func (s *slot) holds(epoch *claimv1.Epoch) bool {
	return epoch != nil && s.epoch.GetNumber() == epoch.GetNumber() && s.promised == epoch.GetNumber() && s.promisedTo == epoch.GetOwner()
}

// relinquish ends this VM's part as owner of an epoch whose standby does not
// follow any more, so that the next update takes the slot over again.
func (s *slot) relinquish(epoch *claimv1.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holds(epoch) {
		s.promisedTo = ""
	}
}

// takeOverResponse returns what this VM holds and has promised, for a new owner.
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

// state returns a copy for a new owner.
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

// evict drops entries whose keys were issued before a time.
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
