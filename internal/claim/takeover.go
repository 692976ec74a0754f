package claim

import (
	"context"
	"sync"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// maintain takes over the slots that this VM should own, so that keys issued
// later are served, and forgets expired entries.
func (r *AnswerRegistry) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.maintainSlots(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *AnswerRegistry) maintainSlots(ctx context.Context) {
	var work sync.WaitGroup
	for number, s := range r.slots {
		work.Go(func() {
			s.changes.Lock()
			defer s.changes.Unlock()
			r.ensureOwned(ctx, s, number)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.forget(r.forgetBefore())
		})
	}
	work.Wait()
}

// ensureOwned reports whether this VM owns a slot, and takes it over if it
// should own it but does not, or if the slot's standby has to change.
func (r *AnswerRegistry) ensureOwned(ctx context.Context, s *slot, number int) bool {
	self := r.deps.View.Self()
	members := r.deps.View.Members()
	if slotOwner(self.Zone, number, members).VM != self.VM {
		return false
	}
	standby := slotStandby(self, number, members)
	s.mu.Lock()
	epoch := s.epoch
	owned := s.holds(epoch) && epoch.GetOwner() == self.VM
	s.mu.Unlock()
	if owned && epoch.GetStandby() == standby.VM {
		return true
	}
	return r.takeOver(ctx, s, number, standby)
}

// slotStandby returns the VM that a slot is replicated to; zero if there is none.
func slotStandby(self membership.Member, number int, members []membership.Member) membership.Member {
	return rendezvous(slotName(self.Zone, number), members, func(m membership.Member) bool {
		return m.VM != self.VM && m.Zone == self.Zone && m.State == membership.Alive && !m.Draining
	})
}

// takeOver begins a new epoch of a slot: it fences the earlier ones at all VMs
// of the zone, merges what they hold and copies it to the standby. Keys that
// may have been used under an owner whose entries are lost stay unknown.
func (r *AnswerRegistry) takeOver(ctx context.Context, s *slot, number int, standby membership.Member) bool {
	self := r.deps.View.Self()
	began := r.now()
	s.mu.Lock()
	epoch := &claimv1.Epoch{Number: s.promised + 1, Owner: self.VM, Standby: standby.VM}
	s.promise(epoch.GetNumber(), self.VM)
	states := []*claimv1.SlotState{s.state()}
	s.mu.Unlock()
	for _, response := range r.fence(ctx, number, epoch) {
		if !response.GetAccepted() {
			s.learn(response.GetPromised())
			return false
		}
		states = append(states, response.GetState())
	}
	merged := merge(states)
	completeFrom := time.UnixMilli(merged.GetCompleteFromMs())
	if merged.GetEpoch() == nil {
		completeFrom = began
		r.counters.partial.Add(1)
	}
	if !r.copyTo(ctx, standby, number, epoch, merged, completeFrom) {
		return false
	}
	return r.assume(s, epoch, merged, completeFrom)
}

// learn raises the promised number, so that the next try exceeds it.
func (s *slot) learn(promised uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if promised > s.promised {
		s.promised = promised
		s.promisedTo = ""
	}
}

// assume makes this VM the owner, unless a later epoch was promised meanwhile.
func (r *AnswerRegistry) assume(s *slot, epoch *claimv1.Epoch, merged *claimv1.SlotState, completeFrom time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promised != epoch.GetNumber() || s.promisedTo != epoch.GetOwner() {
		return false
	}
	s.replace(epoch, merged.GetEntries(), completeFrom)
	r.counters.takeovers.Add(1)
	return true
}

// fence asks all other VMs of the zone to refuse earlier epochs, and returns
// the responses of those that could be reached.
func (r *AnswerRegistry) fence(ctx context.Context, number int, epoch *claimv1.Epoch) []*claimv1.TakeOverResponse {
	self := r.deps.View.Self()
	request := &claimv1.TakeOverRequest{Zone: self.Zone, Slot: uint32(number), Number: epoch.GetNumber(), Vm: self.VM}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var responses []*claimv1.TakeOverResponse
	var calls sync.WaitGroup
	for _, member := range r.deps.View.Members() {
		if member.VM == self.VM || member.Zone != self.Zone {
			continue
		}
		calls.Go(func() {
			response, err := r.deps.Peers.TakeOver(ctx, member.Address, request)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, response)
		})
	}
	calls.Wait()
	return responses
}

// copyTo gives the standby of a new epoch the whole state.
func (r *AnswerRegistry) copyTo(ctx context.Context, standby membership.Member, number int, epoch *claimv1.Epoch, merged *claimv1.SlotState, completeFrom time.Time) bool {
	if standby.VM == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := r.deps.Peers.Replicate(ctx, standby.Address, &claimv1.ReplicateRequest{
		Zone:           r.deps.View.Self().Zone,
		Slot:           uint32(number),
		Epoch:          epoch,
		Entries:        merged.GetEntries(),
		Whole:          true,
		CompleteFromMs: completeFrom.UnixMilli(),
	})
	return err == nil && response.GetAccepted()
}

// Replicate stores entries of an epoch whose standby this VM is. The error is
// KeyMalformed.
func (r *AnswerRegistry) Replicate(request *claimv1.ReplicateRequest) (*claimv1.ReplicateResponse, error) {
	s, err := r.ownSlot(request.GetZone(), request.GetSlot())
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := request.GetEpoch()
	if !s.promise(epoch.GetNumber(), epoch.GetOwner()) {
		return &claimv1.ReplicateResponse{}, nil
	}
	if request.GetWhole() {
		s.replace(epoch, request.GetEntries(), time.UnixMilli(request.GetCompleteFromMs()))
		return &claimv1.ReplicateResponse{Accepted: true}, nil
	}
	if !s.holds(epoch) {
		return &claimv1.ReplicateResponse{}, nil
	}
	for _, entry := range request.GetEntries() {
		s.entries[answerKey(entry)] = entry
	}
	return &claimv1.ReplicateResponse{Accepted: true}, nil
}

// TakeOver promises to take part in no epoch before the one asked for, and
// returns what this VM holds of the slot. The error is KeyMalformed.
func (r *AnswerRegistry) TakeOver(request *claimv1.TakeOverRequest) (*claimv1.TakeOverResponse, error) {
	s, err := r.ownSlot(request.GetZone(), request.GetSlot())
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.promise(request.GetNumber(), request.GetVm()) {
		return &claimv1.TakeOverResponse{Promised: s.promised}, nil
	}
	return &claimv1.TakeOverResponse{Accepted: true, Promised: s.promised, State: s.state()}, nil
}
