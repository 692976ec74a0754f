package reservation

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/api/reservation/v1/reservationv1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// ownerSearchTimeout is how long a reservation tries to reach an owner
	// before it falls back to the static share.
	ownerSearchTimeout = 600 * time.Millisecond
	// ownerRetryDelay is the time between two attempts.
	ownerRetryDelay = 25 * time.Millisecond
)

// Reserve implements Reserver. It tries this VM's own zone first. If that zone
// refuses because it has no engine or cannot meet the targets, up to
// maxSpillAttempts other zones are tried, for a build all of them.
func (s *Service) Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	started := time.Now()
	key := routeKey{s.self().Zone, d.Model}
	grant, err := s.reserveInZone(ctx, key, d)
	if err == nil {
		return grant, nil
	}
	refusal := asRefusal(err)
	if refusal == nil || !maySpill(refusal) {
		return scheduling.Grant{}, err
	}
	d.Waited += time.Since(started)
	if grant, ok := s.spill(ctx, d); ok {
		return grant, nil
	}
	return scheduling.Grant{}, err
}

// reserveInZone reserves from the owner, follows the ownership when it moves
// and falls back to the static share if no owner responds. Retries are safe,
// because a reservation is idempotent by attempt and a grant that nobody renews
// expires.
func (s *Service) reserveInZone(ctx context.Context, key routeKey, d scheduling.Demand) (scheduling.Grant, error) {
	arrival := time.Now().Add(-d.Waited)
	var firstFailure time.Time
	for {
		grant, err := s.tryOwner(ctx, key, d)
		if err == nil || asRefusal(err) != nil || ctx.Err() != nil {
			return grant, err
		}
		if s.stopped() {
			return scheduling.Grant{}, Stopped.New("the service does not run")
		}
		if firstFailure.IsZero() {
			firstFailure = time.Now()
		}
		if errorx.IsOfType(err, OwnerSilent) || time.Since(firstFailure) > ownerSearchTimeout {
			return s.reserveFromShare(ctx, key, d)
		}
		if err := sleepContext(ctx, ownerRetryDelay); err != nil {
			return scheduling.Grant{}, err
		}
		d.Waited = time.Since(arrival)
	}
}

// tryOwner makes one attempt to reserve from the current owner.
func (s *Service) tryOwner(ctx context.Context, key routeKey, d scheduling.Demand) (scheduling.Grant, error) {
	ref, err := s.router.acquire(key)
	if err != nil {
		return scheduling.Grant{}, err
	}
	// The grant must be recorded before the route counts as settled.
	defer s.router.release(ref)
	if ref.unresponsive {
		return scheduling.Grant{}, OwnerSilent.New("%s did not answer lately", ref.owner.VM)
	}
	grant, err := s.reserveFromOwner(ctx, ref, d)
	if err != nil {
		return scheduling.Grant{}, err
	}
	s.holdings.add(key, &d, grant)
	return grant, nil
}

func (s *Service) reserveFromOwner(ctx context.Context, ref routeRef, d scheduling.Demand) (scheduling.Grant, error) {
	if ref.owner.VM == s.self().VM {
		return s.reserveFromOwnedScheduler(ctx, d)
	}
	s.reporterTo(ref.owner.VM)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ref.invalidated:
			cancel()
		case <-callCtx.Done():
		}
	}()
	grant, err := s.callOwner(callCtx, ref.owner, &d, false)
	if err != nil && ctx.Err() != nil {
		// The caller is gone, but the owner may have made the grant meanwhile:
		// release it.
		s.holdings.enqueue(ref.route.key, scheduling.Progress{ID: d.ID, Kind: scheduling.Released})
		s.reporterTo(ref.owner.VM).sendNow()
		return scheduling.Grant{}, ctx.Err()
	}
	return grant, err
}

// reserveFromOwnedScheduler reserves from this VM's scheduler of a model that
// it owns.
func (s *Service) reserveFromOwnedScheduler(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	sched, err := s.ownedScheduler(d.Model)
	if err != nil {
		return scheduling.Grant{}, err
	}
	return reserveLocally(ctx, sched, d)
}

// reserveLocally reserves from a scheduler of this VM. If ctx has ended, a
// grant made at that moment is cancelled at once.
func reserveLocally(ctx context.Context, sched *modelScheduler, d scheduling.Demand) (scheduling.Grant, error) {
	grant, err := sched.reserve(ctx, d)
	if ctx.Err() != nil {
		sched.update(func(now time.Time, c *scheduling.Coordinator) { c.Cancel(now, d.ID) })
		return scheduling.Grant{}, ctx.Err()
	}
	return grant, err
}

// callOwner makes one call to another VM.
func (s *Service) callOwner(ctx context.Context, to membership.Member, d *scheduling.Demand, spilled bool) (scheduling.Grant, error) {
	client, err := s.client(to.VM)
	if err != nil {
		return scheduling.Grant{}, err
	}
	request := &reservationv1.ReserveRequest{Demand: demandToProto(d), Spilled: spilled}
	response, err := client.Reserve(ctx, connect.NewRequest(request))
	if err != nil {
		if ctx.Err() == nil && connect.CodeOf(err) == connect.CodeUnavailable {
			s.router.markUnreachable(to.VM)
		}
		return scheduling.Grant{}, errorFromPeer(err)
	}
	return outcomeFromProto(d.ID, response.Msg)
}

// reserveFromShare reserves from this VM's static share.
func (s *Service) reserveFromShare(ctx context.Context, key routeKey, d scheduling.Demand) (scheduling.Grant, error) {
	s.counters.Fallbacks.Add(1)
	sched, err := s.shareScheduler(d.Model)
	if err != nil {
		return scheduling.Grant{}, err
	}
	grant, err := reserveLocally(ctx, sched, d)
	if err != nil {
		return scheduling.Grant{}, err
	}
	s.holdings.add(key, &d, grant)
	return grant, nil
}

// client returns the client of another VM.
func (s *Service) client(vm string) (reservationv1connect.ReservationServiceClient, error) {
	if s.params.Dialer == nil {
		return nil, OwnerUnreachable.New("no way to dial %s", vm)
	}
	for _, m := range s.params.View.Members() {
		if m.VM == vm {
			url := s.params.Dialer.BaseURL(m.Address)
			return reservationv1connect.NewReservationServiceClient(s.params.Dialer.HTTPClient(), url, peer.ClientOptions()...), nil
		}
	}
	return nil, OwnerUnreachable.New("%s is no member", vm)
}

// reporterTo returns the progress reporter to another VM and starts it if
// needed.
func (s *Service) reporterTo(vm string) *progressReporter {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reporters[vm]
	if ok {
		return r
	}
	r = &progressReporter{service: s, vm: vm, wakeup: make(chan struct{}, 1), complete: make(map[routeKey]bool)}
	if s.runContext == nil || s.runContext.Err() != nil {
		return r
	}
	s.reporters[vm] = r
	ctx := s.runContext
	s.background.Go(func() { r.run(ctx) })
	return r
}

// removeUnusedReporter removes a reporter to a VM that owns no route this VM
// uses, and reports whether it did.
func (s *Service) removeUnusedReporter(r *progressReporter) bool {
	if len(s.keysOwnedBy(r.vm)) > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reporters, r.vm)
	return true
}

// stopped reports whether Run has ended.
func (s *Service) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runContext != nil && s.runContext.Err() != nil
}

// sleepContext sleeps unless ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
