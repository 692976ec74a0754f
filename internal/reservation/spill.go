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
	// spillHeadroom is the free part of a zone's slots from which on it takes
	// demands of other zones.
	spillHeadroom = 0.05
	// spillRest is how long a zone that refused is not asked again; the time
	// doubles up to spillRestMax with each refusal, so that two full zones do
	// not pass their load to and fro. Bursts last for seconds, and a refusal
	// costs the way there and back.
	spillRest    = 100 * time.Millisecond
	spillRestMax = 400 * time.Millisecond
	// maxSpills bounds the zones that are asked for one demand.
	maxSpills = 3
	// spillTimeout bounds a call to another zone beside the link's delay.
	spillTimeout = 250 * time.Millisecond
	// promptBytesPerToken estimates the length of a prompt on the wire.
	promptBytesPerToken = 4
)

// maySpill reports whether another zone may do better.
func maySpill(r *scheduling.Refusal) bool {
	return r.Reason == scheduling.RefusedTarget || r.Reason == scheduling.RefusedNoEngine
}

// spillPolicy remembers which zones refused.
type spillPolicy struct {
	mu    sync.Mutex
	rests map[routeKey]cooldown.Cooldown
}

func newSpillPolicy() *spillPolicy {
	return &spillPolicy{rests: make(map[routeKey]cooldown.Cooldown)}
}

// open reports whether a zone may be asked.
func (p *spillPolicy) open(key routeKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rests[key].Over(time.Now())
}

// refused lets a zone rest, longer each time.
func (p *spillPolicy) refused(key routeKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.rests[key]
	last.Extend(time.Now(), cooldown.Bounds{First: spillRest, Longest: spillRestMax})
	p.rests[key] = last
}

// granted halves the next rest.
func (p *spillPolicy) granted(key routeKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.rests[key]
	last.EndHalved()
	p.rests[key] = last
}

// spill asks the owners of other zones, the nearest first.
func (s *Service) spill(ctx context.Context, d scheduling.Demand) (scheduling.Grant, bool) {
	for range maxSpills {
		started := time.Now()
		if grant, ok := s.spillOnce(ctx, d); ok {
			return grant, true
		}
		d.Waited += time.Since(started)
	}
	return scheduling.Grant{}, false
}

// spillOnce asks the owner of the nearest zone that is not resting.
func (s *Service) spillOnce(ctx context.Context, d scheduling.Demand) (scheduling.Grant, bool) {
	key, link, ok := s.spillTarget(d.Model)
	if !ok {
		return scheduling.Grant{}, false
	}
	d, ok = overLink(d, link)
	if !ok {
		return scheduling.Grant{}, false
	}
	way, err := s.router.acquire(key)
	if err != nil {
		return scheduling.Grant{}, false
	}
	defer s.router.release(way)
	call, cancel := context.WithTimeout(ctx, spillTimeout+2*link.OneWayDelay.D())
	defer cancel()
	grant, err := s.callOwner(call, way.owner, &d, true)
	if err != nil {
		s.spills.refused(key)
		s.counters.SpillsRefused.Add(1)
		return scheduling.Grant{}, false
	}
	s.spills.granted(key)
	s.counters.Spills.Add(1)
	s.holdings.add(key, &d, grant)
	s.linkTo(way.owner.VM)
	return grant, true
}

// spillTarget returns the nearest zone with members that is not resting.
func (s *Service) spillTarget(model string) (routeKey, *configuration.Link, bool) {
	type target struct {
		key  routeKey
		link *configuration.Link
		// turn orders zones of the same distance by chance, so that not all spill to one.
		turn uint64
	}
	var targets []target
	seen := map[string]bool{s.self().Zone: true}
	for _, m := range s.params.View.Members() {
		if seen[m.Zone] {
			continue
		}
		seen[m.Zone] = true
		key := routeKey{m.Zone, model}
		link, ok := s.params.Fleet().Link(s.self().Zone, m.Zone)
		if ok && s.spills.open(key) {
			targets = append(targets, target{key, link, rand.Uint64()})
		}
	}
	if len(targets) == 0 {
		return routeKey{}, nil, false
	}
	nearest := slices.MinFunc(targets, func(x, y target) int {
		return cmp.Or(cmp.Compare(x.link.OneWayDelay, y.link.OneWayDelay), cmp.Compare(x.turn, y.turn))
	})
	return nearest.key, nearest.link, true
}

// overLink shortens the targets by what the link costs: the way there and back
// and the prompt at the link's rate. It is false if nothing is left.
func overLink(d scheduling.Demand, link *configuration.Link) (scheduling.Demand, bool) {
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
