package claim

import (
	"context"
	"sync"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// AnswerTicket is the right of one attempt to compute an answer. It is safe for
// concurrent use.
type AnswerTicket struct {
	registry *AnswerRegistry
	key      ParsedKey
	zone     string
	slot     int
	attempt  *claimv1.Writer

	mu    sync.Mutex
	ended bool
}

// MayAnswer must be called once before the first byte of the answer is sent to
// the caller, preferably while the answer is being computed. If it returns nil,
// the answer may be sent. If it returns an error, of type OwnerUnavailable, the answer
// must not be sent and the ticket must be abandoned.
func (t *AnswerTicket) MayAnswer(ctx context.Context) error {
	if t.hasEnded() {
		return OwnerUnavailable.New("the attempt has ended")
	}
	response, err := t.update(ctx, claimv1.AnswerPhase_ANSWER_PHASE_ANSWERING)
	if err != nil {
		return OwnerUnavailable.Wrap(err, "the owner of the key in zone %s cannot be reached", t.zone)
	}
	if response.GetResult() != claimv1.UpdateResult_UPDATE_RESULT_DONE {
		return OwnerUnavailable.New("the attempt no longer holds its key")
	}
	return nil
}

// Delivered registers in the background that the answer was sent to the caller,
// in whole or in part. Repeats of the key get the decision Answered.
func (t *AnswerTicket) Delivered() {
	t.end(claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED)
}

// Abandon releases the key in the background, so that a repeat may run. It must
// only be called if no byte of the answer was or will be sent to the caller.
func (t *AnswerTicket) Abandon() {
	t.end(claimv1.AnswerPhase_ANSWER_PHASE_FREE)
}

// end registers the end of the attempt; only the first call has an effect.
func (t *AnswerTicket) end(phase claimv1.AnswerPhase) {
	t.mu.Lock()
	ended := t.ended
	t.ended = true
	t.mu.Unlock()
	if ended {
		return
	}
	t.registry.outbox.add(func(ctx context.Context) bool {
		response, err := t.update(ctx, phase)
		return err == nil && response.GetResult() != claimv1.UpdateResult_UPDATE_RESULT_NOT_OWNER
	})
}

func (t *AnswerTicket) hasEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// update requests a change of phase from the owner of the key's slot.
func (t *AnswerTicket) update(ctx context.Context, phase claimv1.AnswerPhase) (*claimv1.UpdateResponse, error) {
	r := t.registry
	owner := slotOwner(t.zone, t.slot, r.deps.View.Members())
	if owner.VM == "" {
		return nil, OwnerUnavailable.New("no VM of zone %s is alive", t.zone)
	}
	request := &claimv1.UpdateRequest{
		Zone: t.zone,
		Slot: uint32(t.slot),
		Entry: &claimv1.AnswerEntry{
			Team:    t.key.Team,
			Key:     t.key.Key.Key,
			Attempt: t.attempt,
			Phase:   phase,
		},
	}
	if owner.VM == r.deps.View.Self().VM {
		return r.Update(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, callsPerUpdate*peerTimeout)
	defer cancel()
	return r.deps.Peers.Update(ctx, owner.Address, request)
}

// callsPerUpdate is the number of sequential calls that an update may need:
// taking over, copying to a new standby, and replicating the update itself.
const callsPerUpdate = 4

// slotOwner returns the VM of the zone that owns a slot, by rendezvous hashing.
func slotOwner(zone string, number int, members []membership.Member) membership.Member {
	return rendezvous.First(slotName(zone, number), members, func(m membership.Member) bool {
		return m.Zone == zone && m.Available()
	})
}
