package claim

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// slot is what this VM holds of one slot of its own zone, as owner or standby.
type slot struct {
	// changes serializes the owner's work, calls to peers included.
	changes sync.Mutex

	// mu guards the fields below and is never held during a call.
	mu sync.Mutex
	// promised is the highest epoch number that this VM has accepted, by whom.
	promised   uint64
	promisedTo string
	// epoch is the last one in which this VM was owner or standby; nil if none.
	epoch   *claimv1.Epoch
	entries map[string]*claimv1.AnswerEntry
	// completeFrom is the time after which every used key is an entry.
	completeFrom time.Time
}

// slotName is the name of a slot for rendezvous hashing.
func slotName(zone string, number int) string {
	return "answers-" + zone + "-" + strconv.Itoa(number)
}

// promise accepts a new epoch number; from then on earlier epochs are refused.
func (s *slot) promise(number uint64, vm string) bool {
	if number < s.promised || number == s.promised && vm != s.promisedTo {
		return false
	}
	s.promised = number
	s.promisedTo = vm
	return true
}

// holds reports whether an epoch is still the one that this VM takes part in.
func (s *slot) holds(epoch *claimv1.Epoch) bool {
	return epoch != nil && s.epoch.GetNumber() == epoch.GetNumber() && s.promised == epoch.GetNumber() && s.promisedTo == epoch.GetOwner()
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
func (s *slot) replace(epoch *claimv1.Epoch, entries []*claimv1.AnswerEntry, completeFrom time.Time) {
	s.epoch = epoch
	s.completeFrom = completeFrom
	s.entries = make(map[string]*claimv1.AnswerEntry, len(entries))
	for _, entry := range entries {
		s.entries[answerKey(entry)] = entry
	}
}

// forget drops entries whose keys were issued before a time.
func (s *slot) forget(before time.Time) {
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

// merge returns what the owner and the standby of the latest known epoch hold:
// per key the entry with the higher version. What others kept of earlier epochs
// is stale, since an epoch begins with all that is known.
func merge(states []*claimv1.SlotState) *claimv1.SlotState {
	latest := &claimv1.SlotState{}
	for _, state := range states {
		if state.GetEpoch().GetNumber() > latest.GetEpoch().GetNumber() {
			latest = state
		}
	}
	entries := make(map[string]*claimv1.AnswerEntry)
	for _, state := range states {
		if state.GetEpoch().GetNumber() == latest.GetEpoch().GetNumber() {
			mergeEntries(entries, state.GetEntries())
		}
	}
	return &claimv1.SlotState{
		Epoch:          latest.GetEpoch(),
		Entries:        slices.Collect(maps.Values(entries)),
		CompleteFromMs: latest.GetCompleteFromMs(),
	}
}

// mergeEntries adds the entries whose version is higher than the known ones.
func mergeEntries(known map[string]*claimv1.AnswerEntry, entries []*claimv1.AnswerEntry) {
	for _, entry := range entries {
		key := answerKey(entry)
		if old, ok := known[key]; !ok || entry.GetVersion() > old.GetVersion() {
			known[key] = entry
		}
	}
}
