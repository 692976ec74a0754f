package claim

import (
	"context"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// Update changes the phase of an attempt if this VM owns the key's slot. Errors
// are of type KeyMalformed or come from the context.
func (r *AnswerRegistry) Update(ctx context.Context, request *claimv1.UpdateRequest) (*claimv1.UpdateResponse, error) {
	wanted := request.GetEntry()
	key, err := ParseKey(Key{Team: wanted.GetTeam(), Key: wanted.GetKey()})
	if err != nil {
		return nil, err
	}
	s, err := r.localSlot(request.GetZone(), request.GetSlot())
	if err != nil {
		return nil, err
	}
	if !s.lock(ctx) {
		return nil, ctx.Err()
	}
	defer s.unlock()
	if !r.ensureOwned(ctx, s, int(request.GetSlot())) {
		return &claimv1.UpdateResponse{Result: claimv1.UpdateResult_UPDATE_RESULT_NOT_OWNER}, nil
	}
	entry, result := r.change(s, key, wanted)
	if result != claimv1.UpdateResult_UPDATE_RESULT_DONE {
		return &claimv1.UpdateResponse{Result: result, Entry: entry}, nil
	}
	if !r.replicate(ctx, s, request, entry) {
		return &claimv1.UpdateResponse{Result: claimv1.UpdateResult_UPDATE_RESULT_NOT_OWNER}, nil
	}
	return &claimv1.UpdateResponse{Result: result, Entry: entry}, nil
}

// localSlot returns a slot of this VM's zone.
func (r *AnswerRegistry) localSlot(zone string, number uint32) (*slot, error) {
	if zone != r.deps.View.Self().Zone || number >= Slots {
		return nil, KeyMalformed.New("slot %d of zone %q is not served here", number, zone)
	}
	return r.slots[number], nil
}

// change applies the wanted phase to the entry of its key, if permitted, and
// returns a copy of the resulting entry.
func (r *AnswerRegistry) change(s *slot, key ParsedKey, wanted *claimv1.AnswerEntry) (*claimv1.AnswerEntry, claimv1.UpdateResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[answerKey(wanted)]
	result := r.checkUpdate(s, key, entry, wanted)
	if result != claimv1.UpdateResult_UPDATE_RESULT_DONE {
		return proto.CloneOf(entry), result
	}
	changed := proto.CloneOf(wanted)
	changed.Version = entry.GetVersion() + 1
	s.entries[answerKey(wanted)] = changed
	return proto.CloneOf(changed), result
}

// checkUpdate decides whether an attempt may enter the wanted phase.
func (r *AnswerRegistry) checkUpdate(s *slot, key ParsedKey, entry, wanted *claimv1.AnswerEntry) claimv1.UpdateResult {
	sameAttempt := proto.Equal(entry.GetAttempt(), wanted.GetAttempt())
	if wanted.GetPhase() == claimv1.AnswerPhase_ANSWER_PHASE_WORKING {
		if entry == nil {
			return r.checkNew(s, key)
		}
		return r.checkRepeat(entry, sameAttempt)
	}
	if entry == nil && wanted.GetPhase() == claimv1.AnswerPhase_ANSWER_PHASE_FREE {
		return r.checkNew(s, key)
	}
	if !sameAttempt || !validTransition(entry.GetPhase(), wanted.GetPhase()) {
		return claimv1.UpdateResult_UPDATE_RESULT_TAKEN
	}
	return claimv1.UpdateResult_UPDATE_RESULT_DONE
}

// validTransition reports whether an attempt may go from one phase to another.
func validTransition(from, to claimv1.AnswerPhase) bool {
	switch from {
	case claimv1.AnswerPhase_ANSWER_PHASE_WORKING, claimv1.AnswerPhase_ANSWER_PHASE_ANSWERING:
		return true
	default:
		return from == to
	}
}

// checkNew checks an update of a key without an entry.
func (r *AnswerRegistry) checkNew(s *slot, key ParsedKey) claimv1.UpdateResult {
	err := r.settings.checkTime(key.Issued, r.now())
	switch {
	case errorx.IsOfType(err, KeyFuture):
		return claimv1.UpdateResult_UPDATE_RESULT_KEY_FUTURE
	case err != nil:
		return claimv1.UpdateResult_UPDATE_RESULT_KEY_EXPIRED
	case !key.Issued.After(s.completeFrom.Add(2 * r.settings.ClockSkew)):
		return claimv1.UpdateResult_UPDATE_RESULT_UNKNOWN_PAST
	}
	return claimv1.UpdateResult_UPDATE_RESULT_DONE
}

// checkRepeat checks a new attempt for a key with an entry. If the VM of the
// previous attempt is gone and that attempt was not yet permitted to answer,
// the key passes to the new attempt; MayAnswer then fails for the previous one.
func (r *AnswerRegistry) checkRepeat(entry *claimv1.AnswerEntry, sameAttempt bool) claimv1.UpdateResult {
	switch entry.GetPhase() {
	case claimv1.AnswerPhase_ANSWER_PHASE_FREE:
		if !sameAttempt {
			return claimv1.UpdateResult_UPDATE_RESULT_DONE
		}
	case claimv1.AnswerPhase_ANSWER_PHASE_WORKING:
		if sameAttempt || !aliveIn(r.deps.View, entry.GetAttempt()) {
			return claimv1.UpdateResult_UPDATE_RESULT_DONE
		}
	}
	return claimv1.UpdateResult_UPDATE_RESULT_TAKEN
}

// replicate copies a changed entry to the standby and reports whether the epoch
// is still current. Only then may the change be acknowledged.
func (r *AnswerRegistry) replicate(ctx context.Context, s *slot, request *claimv1.UpdateRequest, entry *claimv1.AnswerEntry) bool {
	s.mu.Lock()
	epoch := s.epoch
	s.mu.Unlock()
	if standby := r.address(epoch.GetStandby()); epoch.GetStandby() != "" {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		response, err := r.deps.Peers.Replicate(ctx, standby, &claimv1.ReplicateRequest{
			Zone:    request.GetZone(),
			Slot:    request.GetSlot(),
			Epoch:   epoch,
			Entries: []*claimv1.AnswerEntry{entry},
		})
		if err != nil || !response.GetAccepted() {
			s.relinquish(epoch)
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(epoch)
}

// address returns the address of a VM; empty if it is not a member.
func (r *AnswerRegistry) address(vm string) string {
	for _, member := range r.deps.View.Members() {
		if member.VM == vm {
			return member.Address
		}
	}
	return ""
}
