package reservation

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// minSpillHeadroom is the minimum free fraction of a zone's slots at which it
	// accepts demands of other zones.
	minSpillHeadroom = 0.05
	// spillCooldown is how long a zone that refused is not tried again. The time
	// doubles with each refusal up to maxSpillCooldown, so that two full zones
	// do not pass their load back and forth. Bursts last for seconds, and each
	// refusal costs a round trip to the other zone.
	spillCooldown    = 100 * time.Millisecond
	maxSpillCooldown = 400 * time.Millisecond
	// maxSpillAttempts limits the zones that are tried for one demand.
	maxSpillAttempts = 3
	// spillTimeout limits a call to another zone, in addition to the link's
	// delay.
	spillTimeout = 250 * time.Millisecond
	// promptBytesPerToken estimates the size of a prompt on the wire.
	promptBytesPerToken = 4
)

// maySpill reports whether another zone may grant a demand that was refused.
func maySpill(r *scheduling.Refusal) bool {
	return r.Reason == scheduling.RefusedTarget || r.Reason == scheduling.RefusedNoEngine
}

// spillPolicy tracks the zones that refused demands.
type spillPolicy struct {
	mu        sync.Mutex
	cooldowns map[routeKey]cooldown.Cooldown
}

func newSpillPolicy() *spillPolicy {
	return &spillPolicy{cooldowns: make(map[routeKey]cooldown.Cooldown)}
}

// mayTry reports whether a zone is not cooling down.
func (p *spillPolicy) mayTry(key routeKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cooldowns[key].Over(time.Now())
}

// record records the result of a call to a zone.
func (p *spillPolicy) record(key routeKey, err error) {
	if err != nil {
		p.recordRefusal(key)
		return
	}
	p.recordGrant(key)
}

// recordRefusal starts the cooldown of a zone, longer after each refusal.
func (p *spillPolicy) recordRefusal(key routeKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.cooldowns[key]
	last.Extend(time.Now(), cooldown.Bounds{First: spillCooldown, Longest: maxSpillCooldown})
	p.cooldowns[key] = last
}

// recordGrant ends the cooldown of a zone and halves its next one.
func (p *spillPolicy) recordGrant(key routeKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.cooldowns[key]
	last.EndHalved()
	p.cooldowns[key] = last
}

// spill tries to reserve from the owners of other zones, the nearest first. For a
// build it tries each zone once, because a few engines of one zone may be all that
// can serve the demand.
func (s *Service) spill(ctx context.Context, d scheduling.Demand) (scheduling.Grant, bool) {
	tried := make(map[string]bool)
	for attempt := 0; d.Build != "" || attempt < maxSpillAttempts; attempt++ {
		target, ok := s.nearestSpillTarget(&d, tried)
		if !ok {
			break
		}
		tried[target.key.zone] = true
		started := time.Now()
		if grant, ok := s.spillTo(ctx, target, d); ok {
			return grant, true
		}
		d.Waited += time.Since(started)
	}
	return scheduling.Grant{}, false
}

// spillTo tries to reserve from the owner in another zone. What a zone does with a
// demand for a build does not tell whether it has room for others.
func (s *Service) spillTo(ctx context.Context, target spillTarget, d scheduling.Demand) (scheduling.Grant, bool) {
	key, link := target.key, target.link
	d, ok := deductLinkCost(d, link)
	if !ok {
		return scheduling.Grant{}, false
	}
	ref, err := s.router.acquire(key)
	if err != nil {
		return scheduling.Grant{}, false
	}
	defer s.router.release(ref)
	callCtx, cancel := context.WithTimeout(ctx, spillTimeout+2*link.OneWayDelay.D())
	defer cancel()
	grant, err := s.callOwner(callCtx, ref.owner, &d, true)
	if d.Build == "" {
		s.spills.record(key, err)
	}
	if err != nil {
		s.counters.SpillsRefused.Add(1)
		return scheduling.Grant{}, false
	}
	s.counters.Spills.Add(1)
	s.holdings.add(key, &d, grant)
	s.reporterTo(ref.owner.VM)
	return grant, true
}

// spillTarget is another zone that may grant a demand.
type spillTarget struct {
	key  routeKey
	link *configuration.Link
	// tiebreak orders zones of the same distance randomly, so that VMs do not
	// all spill to the same one.
	tiebreak uint64
}

// nearestSpillTarget returns the nearest zone with members that is not cooling down
// or, for a demand for a build, that was not tried.
func (s *Service) nearestSpillTarget(d *scheduling.Demand, tried map[string]bool) (spillTarget, bool) {
	var targets []spillTarget
	seen := map[string]bool{s.self().Zone: true}
	for _, m := range s.params.View.Members() {
		if seen[m.Zone] {
			continue
		}
		seen[m.Zone] = true
		key := routeKey{m.Zone, d.Model}
		mayTry := s.spills.mayTry(key)
		if d.Build != "" {
			mayTry = !tried[m.Zone]
		}
		link, ok := s.params.Fleet().Link(s.self().Zone, m.Zone)
		if ok && mayTry {
			targets = append(targets, spillTarget{key, link, rand.Uint64()})
		}
	}
	if len(targets) == 0 {
		return spillTarget{}, false
	}
	nearest := slices.MinFunc(targets, func(x, y spillTarget) int {
		return cmp.Or(cmp.Compare(x.link.OneWayDelay, y.link.OneWayDelay), cmp.Compare(x.tiebreak, y.tiebreak))
	})
	return nearest, true
}

// deductLinkCost shortens the targets by the cost of the link: a round trip and
// the transfer of the prompt at the link's rate. It returns false if no time is
// left.
func deductLinkCost(d scheduling.Demand, link *configuration.Link) (scheduling.Demand, bool) {
	cost := 2 * link.OneWayDelay.D()
	if link.BytesPerSecond > 0 {
		bytes := float64(d.PromptTokens * promptBytesPerToken)
		cost += time.Duration(bytes / float64(link.BytesPerSecond) * float64(time.Second))
	}
	ok := true
	shorten := func(target *configuration.Duration) {
		if *target == 0 {
			return
		}
		*target -= configuration.Duration(cost)
		ok = ok && *target > 0
	}
	shorten(&d.Targets.FirstToken)
	shorten(&d.Targets.WholeAnswer)
	return d, ok
}
