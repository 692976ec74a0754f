package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// maintain takes over the slots that this VM should own, so that keys issued
// later are served, and evicts expired entries.
func (r *AnswerRegistry) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	lastEviction := time.Now()
	for ctx.Err() == nil {
		r.maintainSlots(ctx)
		if time.Since(lastEviction) > evictInterval {
			r.evictExpired()
			lastEviction = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *AnswerRegistry) maintainSlots(ctx context.Context) {
	r.zoneMembers.recentPeers(r.deps.View.Self(), r.deps.View.Members())
	var work sync.WaitGroup
	for number, s := range r.slots {
		work.Go(func() {
			if !s.lock(ctx) {
				return
			}
			defer s.unlock()
			r.ensureOwned(ctx, s, number)
		})
	}
	work.Wait()
}

// evictExpired removes the entries of keys that every VM refuses as expired.
func (r *AnswerRegistry) evictExpired() {
	before := r.now().Add(-r.settings.KeyWindow - 2*r.settings.ClockSkew)
	for _, s := range r.slots {
		s.mu.Lock()
		s.evict(before)
		s.mu.Unlock()
	}
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
	owned := s.holds(epoch) && epoch.GetOwner() == r.identity()
	s.mu.Unlock()
	if owned && epoch.GetStandby() == standby.VM {
		return true
	}
	return r.takeOver(ctx, s, number, standby)
}

// slotStandby returns the VM that a slot is replicated to; zero if there is none.
func slotStandby(self membership.Member, number int, members []membership.Member) membership.Member {
	return rendezvous.First(slotName(self.Zone, number), members, func(m membership.Member) bool {
		return m.VM != self.VM && m.Zone == self.Zone && m.Available()
	})
}

// takeOver begins a new epoch of a slot: it fences earlier epochs at all VMs of
// the zone, merges their entries and copies the result to the standby. Keys
// that may have been used under an owner whose entries are lost are answered
// with Unknown. Epoch numbers are derived from the clock, so that a VM does not
// reuse a number after a restart, in which it loses its promises.
func (r *AnswerRegistry) takeOver(ctx context.Context, s *slot, number int, standby membership.Member) bool {
	began := r.now()
	epoch, previous := r.promiseSelf(s, began, standby)
	responses := []*claimv1.TakeOverResponse{previous}
	for _, response := range r.fence(ctx, number, epoch) {
		if !response.GetAccepted() {
			s.observePromise(response)
			return false
		}
		responses = append(responses, response)
	}
	state := recoverState(responses, began)
	if state.GetCompleteFromMs() == began.UnixMilli() {
		r.counters.incompleteTakeovers.Add(1)
	}
	if !r.copyTo(ctx, standby, number, epoch, state) {
		return false
	}
	return r.becomeOwner(s, epoch, state)
}

// promiseSelf chooses the next epoch, promises it to this VM and returns the
// previous state and promise.
func (r *AnswerRegistry) promiseSelf(s *slot, began time.Time, standby membership.Member) (*claimv1.Epoch, *claimv1.TakeOverResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.takeOverResponse(r.identity())
	epoch := &claimv1.Epoch{
		Number:  max(s.promised+1, uint64(began.UnixMicro())),
		Owner:   r.identity(),
		Standby: standby.VM,
	}
	s.promise(epoch.GetNumber(), epoch.GetOwner())
	return epoch, previous
}

// identity names this incarnation of the VM.
func (r *AnswerRegistry) identity() string {
	self := r.deps.View.Self()
	return self.VM + "#" + strconv.FormatUint(self.Incarnation, 10)
}

// observePromise adopts a higher promise of another VM, so that the next
// takeover uses a higher number.
func (s *slot) observePromise(response *claimv1.TakeOverResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promise(response.GetPromised(), response.GetPromisedTo())
}

// becomeOwner makes this VM the owner, unless another epoch was promised in the
// meantime.
func (r *AnswerRegistry) becomeOwner(s *slot, epoch *claimv1.Epoch, state *claimv1.SlotState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promised != epoch.GetNumber() || s.promisedTo != epoch.GetOwner() {
		return false
	}
	s.replace(epoch, state)
	r.counters.takeovers.Add(1)
	return true
}

// fence requests all other VMs of the zone, alive or not according to the view,
// to refuse earlier epochs, and returns the responses of those that could be
// reached.
func (r *AnswerRegistry) fence(ctx context.Context, number int, epoch *claimv1.Epoch) []*claimv1.TakeOverResponse {
	self := r.deps.View.Self()
	request := &claimv1.TakeOverRequest{Zone: self.Zone, Slot: uint32(number), Number: epoch.GetNumber(), Owner: epoch.GetOwner()}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var responses []*claimv1.TakeOverResponse
	var calls sync.WaitGroup
	for _, member := range r.zoneMembers.recentPeers(self, r.deps.View.Members()) {
		calls.Go(func() {
			response := r.fenceOne(ctx, member.Address, request)
			mu.Lock()
			defer mu.Unlock()
			if response != nil {
				responses = append(responses, response)
			}
		})
	}
	calls.Wait()
	return responses
}

// fenceOne calls one VM until it responds; it returns nil if the context ends
// first.
func (r *AnswerRegistry) fenceOne(ctx context.Context, address string, request *claimv1.TakeOverRequest) *claimv1.TakeOverResponse {
	for ctx.Err() == nil {
		response, err := r.deps.Peers.TakeOver(ctx, address, request)
		if err == nil {
			return response
		}
		background.Pause(ctx, fenceRetryDelay)
	}
	return nil
}

// zoneMembers keeps the VMs of this VM's zone beyond their removal from the
// view, so that a VM that was wrongly declared gone is fenced, too.
type zoneMembers struct {
	mu   sync.Mutex
	seen map[string]seenMember
}

// seenMember is a VM with the time when a view last contained it.
type seenMember struct {
	member membership.Member
	at     time.Time
}

// recentPeers adds the zone's VMs in the current view and returns the other VMs
// of the zone that a view contained within memberRetention.
func (z *zoneMembers) recentPeers(self membership.Member, members []membership.Member) []membership.Member {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.seen == nil {
		z.seen = make(map[string]seenMember)
	}
	for _, member := range members {
		if member.Zone == self.Zone && member.VM != self.VM {
			z.seen[member.VM] = seenMember{member: member, at: time.Now()}
		}
	}
	var others []membership.Member
	for vm, seen := range z.seen {
		if time.Since(seen.at) > memberRetention {
			delete(z.seen, vm)
			continue
		}
		others = append(others, seen.member)
	}
	return others
}

// copyTo copies the whole state to the standby of a new epoch, if there is one.
func (r *AnswerRegistry) copyTo(ctx context.Context, standby membership.Member, number int, epoch *claimv1.Epoch, state *claimv1.SlotState) bool {
	if standby.VM == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := r.deps.Peers.Replicate(ctx, standby.Address, &claimv1.ReplicateRequest{
		Zone:           r.deps.View.Self().Zone,
		Slot:           uint32(number),
		Epoch:          epoch,
		Entries:        state.GetEntries(),
		Whole:          true,
		CompleteFromMs: state.GetCompleteFromMs(),
	})
	return err == nil && response.GetAccepted()
}

// Replicate stores entries of an epoch whose standby is this VM. Errors are of
// type KeyMalformed.
func (r *AnswerRegistry) Replicate(request *claimv1.ReplicateRequest) (*claimv1.ReplicateResponse, error) {
	s, err := r.localSlot(request.GetZone(), request.GetSlot())
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
		s.replace(epoch, &claimv1.SlotState{Entries: request.GetEntries(), CompleteFromMs: request.GetCompleteFromMs()})
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

// TakeOver promises not to take part in any epoch before the requested one and
// returns this VM's state of the slot. Errors are of type KeyMalformed.
func (r *AnswerRegistry) TakeOver(request *claimv1.TakeOverRequest) (*claimv1.TakeOverResponse, error) {
	s, err := r.localSlot(request.GetZone(), request.GetSlot())
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := s.takeOverResponse(r.identity())
	response.Accepted = s.promise(request.GetNumber(), request.GetOwner())
	return response, nil
}
