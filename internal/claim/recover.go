package claim

import (
	"maps"
	"slices"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// recoverState returns what a new owner starts from. If the latest epoch may be
// lost, only final entries are kept and the state is complete from now on.
func recoverState(witnesses []*claimv1.TakeOverResponse, now time.Time) *claimv1.SlotState {
	merged := merge(witnesses)
	if merged.GetEpoch() != nil && !mayBeLost(witnesses, merged.GetEpoch().GetNumber()) {
		return merged
	}
	merged.CompleteFromMs = now.UnixMilli()
	merged.Entries = slices.DeleteFunc(merged.Entries, func(entry *claimv1.AnswerEntry) bool {
		return entry.GetPhase() != claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED
	})
	return merged
}

// mayBeLost reports whether an epoch later than the latest known one may have
// begun: one that was promised to an owner that is not among the witnesses. An
// owner among them would have shown the epoch, had it begun.
func mayBeLost(witnesses []*claimv1.TakeOverResponse, latest uint64) bool {
	present := make(map[string]bool, len(witnesses))
	for _, witness := range witnesses {
		present[witness.GetVm()] = true
	}
	for _, witness := range witnesses {
		if witness.GetPromised() > latest && !present[witness.GetPromisedTo()] {
			return true
		}
	}
	return false
}

// merge returns what the owner and the standby of the latest known epoch hold:
// per key the entry with the higher version. What others kept of earlier epochs
// is stale, since an epoch begins with all that is known.
func merge(witnesses []*claimv1.TakeOverResponse) *claimv1.SlotState {
	latest := &claimv1.SlotState{}
	for _, witness := range witnesses {
		if witness.GetState().GetEpoch().GetNumber() > latest.GetEpoch().GetNumber() {
			latest = witness.GetState()
		}
	}
	entries := make(map[string]*claimv1.AnswerEntry)
	for _, witness := range witnesses {
		if witness.GetState().GetEpoch().GetNumber() == latest.GetEpoch().GetNumber() {
			mergeEntries(entries, witness.GetState().GetEntries())
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
