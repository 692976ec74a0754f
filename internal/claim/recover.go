package claim

import (
	"maps"
	"slices"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// recoverState returns the initial state of a new owner. If the entries of the
// latest epoch may be lost, only final entries are kept and the state is
// complete only from now on.
func recoverState(responses []*claimv1.TakeOverResponse, now time.Time) *claimv1.SlotState {
	merged := merge(responses)
	if merged.GetEpoch() != nil && !mayHaveLaterEpoch(responses, merged.GetEpoch().GetNumber()) {
		return merged
	}
	merged.CompleteFromMs = now.UnixMilli()
	merged.Entries = slices.DeleteFunc(merged.Entries, func(entry *claimv1.AnswerEntry) bool {
		return entry.GetPhase() != claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED
	})
	return merged
}

// mayHaveLaterEpoch reports whether an epoch later than the latest known one
// may have begun, that is, one that was promised to an owner that did not
// respond. An owner that responded would have reported the epoch if it had
// begun.
func mayHaveLaterEpoch(responses []*claimv1.TakeOverResponse, latest uint64) bool {
	responded := make(map[string]bool, len(responses))
	for _, response := range responses {
		responded[response.GetVm()] = true
	}
	for _, response := range responses {
		if response.GetPromised() > latest && !responded[response.GetPromisedTo()] {
			return true
		}
	}
	return false
}

// merge combines the entries of the owner and the standby of the latest known
// epoch, keeping the entry with the highest version of each key. Entries of
// earlier epochs at other VMs are stale, since an epoch begins with all
// recovered entries.
func merge(responses []*claimv1.TakeOverResponse) *claimv1.SlotState {
	latest := &claimv1.SlotState{}
	for _, response := range responses {
		if response.GetState().GetEpoch().GetNumber() > latest.GetEpoch().GetNumber() {
			latest = response.GetState()
		}
	}
	entries := make(map[string]*claimv1.AnswerEntry)
	for _, response := range responses {
		if response.GetState().GetEpoch().GetNumber() == latest.GetEpoch().GetNumber() {
			mergeEntries(entries, response.GetState().GetEntries())
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
