package claim

import (
	"context"
	"sync"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// AnswerTicket is one attempt's right to work on an answer. Safe for concurrent use.
type AnswerTicket struct {
	registry *AnswerRegistry
	key      ParsedKey
	zone     string
	slot     int
	attempt  *claimv1.Writer

	mu    sync.Mutex
	ended bool
}

// MayAnswer must be called once before the first byte of the answer is given to
// the caller, best while the work is under way. After nil the answer may be
// given; after an error, of type OwnerAway, it may not, and the ticket must be
// abandoned.
func (t *AnswerTicket) MayAnswer(ctx context.Context) error {
	if t.hasEnded() {
		return OwnerAway.New("the attempt has ended")
	}
	response, err := t.update(ctx, claimv1.AnswerPhase_ANSWER_PHASE_ANSWERING)
	if err != nil {
		return OwnerAway.Wrap(err, "the owner of the key in zone %s cannot be reached", t.zone)
	}
	if response.GetResult() != claimv1.UpdateResult_UPDATE_RESULT_DONE {
		return OwnerAway.New("the attempt no longer holds its key")
	}
	return nil
}

// Delivered registers in the background that bytes of the answer were given to
// the caller, wholly or in part. Repeats are told that the key is answered.
func (t *AnswerTicket) Delivered() {
	t.end(claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED)
}

// Abandon frees the key in the background, so that a repeat may work. It must
// only be called if not one byte was given to the caller, and none will be.
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

// update asks the owner of the key's slot for a change of phase.
func (t *AnswerTicket) update(ctx context.Context, phase claimv1.AnswerPhase) (*claimv1.UpdateResponse, error) {
	r := t.registry
	owner := slotOwner(t.zone, t.slot, r.deps.View.Members())
	if owner.VM == "" {
		return nil, OwnerAway.New("no VM of zone %s is alive", t.zone)
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

// callsPerUpdate is the number of calls in sequence that an update may need:
// taking over, copying to a new standby, and the update's own replication.
const callsPerUpdate = 4

// slotOwner returns the VM of the zone that owns a slot, by rendezvous hashing.
func slotOwner(zone string, number int, members []membership.Member) membership.Member {
	return rendezvous.First(slotName(zone, number), members, func(m membership.Member) bool {
		return m.Zone == zone && m.Available()
	})
}
