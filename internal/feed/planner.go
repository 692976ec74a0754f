package feed

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// Ages are given as fractions of a topic's MaxAge.
const (
	// readAge is the age at which the reader of a zone reads a topic again. Two reads
	// fit into MaxAge.
	readAge = 0.4
	// sourceAge is the age at which a source that sent nothing newer counts as failed.
	// It leaves time to follow another one.
	sourceAge = 0.55
	// rescueAge is the age at which a VM reads the store itself, and rescueSpread the
	// range over which the VMs of a zone are spread, so that they do not all call at
	// once when their reader fails.
	rescueAge    = 0.7
	rescueSpread = 0.1
	// retrySlice is the time for which a VM whose state is old follows one source.
	retrySlice = 0.15
)

// maxRetrySlice limits retrySlice. It is shorter than the cooldown of the store of a
// reader, so that a VM without a way to the store goes on to the next source.
const maxRetrySlice = 400 * time.Millisecond

const (
	// rendezvousKey is hashed with the names of VMs to choose the reader of a zone.
	rendezvousKey = "feed"
	// minStep is the least duration of a step that ends because the store is due.
	minStep = 10 * time.Millisecond
	// recoveringPause is the time between two calls to a source in a cooldown.
	recoveringPause = 100 * time.Millisecond
)

var (
	// readerRetry bounds the cooldown of the store at the VM that reads for its zone,
	// otherRetry at other VMs, of which there are many.
	readerRetry = cooldown.Bounds{First: 100 * time.Millisecond, Longest: 500 * time.Millisecond}
	otherRetry  = cooldown.Bounds{First: 300 * time.Millisecond, Longest: 2 * time.Second}
)

// sourceRetryFactor and longestSourceRetryFactor times the smallest MaxAge are the
// bounds of the cooldown of a source that failed.
const (
	sourceRetryFactor        = 1
	longestSourceRetryFactor = 4
)

// stepKind is what a VM does next.
type stepKind int

const (
	// readForZone reads the store as the reader of the zone, readForSelf because the
	// own state is unknown or too old.
	readForZone stepKind = iota
	readForSelf
	// follow follows a source, wait does nothing until the step's time.
	follow
	wait
)

// step is the next thing to do.
type step struct {
	kind   stepKind
	source membership.Member
	// until is the time at which a follow or a wait ends.
	until time.Time
	// storeDue says that a follow ends because the store is tried again; it is no
	// failure of the source then.
	storeDue bool
	// recovering says that the source is in a cooldown; there is no better one.
	recovering bool
}

// planner decides how a VM learns what is newer. It has no clock and is not safe for
// concurrent use.
type planner struct {
	self string
	zone string
	// maxAge is the smallest MaxAge of all topics.
	maxAge time.Duration
	random *rand.Rand
	// rescueAt is the age at which this VM reads the store itself.
	rescueAt float64
	store    cooldown.Cooldown
	// storeFailing is set from a failed read of the store to the next successful one.
	storeFailing bool
	sources      map[string]cooldown.Cooldown
}

func newPlanner(self membership.Member, maxAge time.Duration, random *rand.Rand) *planner {
	return &planner{
		self: self.VM, zone: self.Zone, maxAge: maxAge, random: random,
		rescueAt: rescueAge + rescueSpread*random.Float64(),
		sources:  make(map[string]cooldown.Cooldown),
	}
}

// plan returns the next step. age is the greatest age of a topic as a fraction of its
// MaxAge, infinite while one is unknown.
func (p *planner) plan(now time.Time, members []membership.Member, age float64) step {
	storeUsable := p.store.Over(now)
	if storeUsable && age >= p.rescueAt {
		return step{kind: readForSelf}
	}
	source, recovering := p.source(now, members)
	if source.VM == p.self {
		return step{kind: readForZone}
	}
	next := step{kind: follow, source: source, until: p.until(now, age), recovering: recovering}
	if source.VM == "" {
		next.kind = wait
	}
	if due := p.storeDue(now, members, &next, age); !due.IsZero() && due.Before(next.until) {
		next.until, next.storeDue = due, true
	}
	return next
}

// storeDue returns the time at which this VM reads the store while it follows a source
// or waits; zero if it does not.
func (p *planner) storeDue(now time.Time, members []membership.Member, next *step, age float64) time.Time {
	if p.store.Over(now) {
		return now.Add(max(minStep, time.Duration((p.rescueAt-age)*float64(p.maxAge))))
	}
	if next.kind == wait || age >= p.rescueAt || p.readsForZone(members) {
		return p.store.Until()
	}
	return time.Time{}
}

// until returns the end of a step that waits for something newer.
func (p *planner) until(now time.Time, age float64) time.Time {
	slice := min(maxRetrySlice, time.Duration(retrySlice*float64(p.maxAge)))
	if age >= sourceAge {
		return now.Add(slice)
	}
	return now.Add(max(slice, time.Duration((sourceAge-age)*float64(p.maxAge))))
}

// source returns the VM to follow: the first of the zone's VMs in rendezvous order that
// is not in a cooldown, this VM itself included. If all are, VMs of other zones are
// considered, then the one whose cooldown ends first; the second result is true for it.
// The member is zero if there is no other VM.
func (p *planner) source(now time.Time, members []membership.Member) (membership.Member, bool) {
	var best, recovering membership.Member
	var bestWeight uint64
	var remote []membership.Member
	for _, m := range members {
		if !m.Available() && m.VM != p.self {
			continue
		}
		usable := p.usable(now, m.VM)
		switch {
		case usable && m.Zone != p.zone:
			remote = append(remote, m)
		case m.Zone != p.zone:
		case !usable:
			if m.VM != p.self && (recovering.VM == "" || p.sources[m.VM].Until().Before(p.sources[recovering.VM].Until())) {
				recovering = m
			}
		default:
			if weight := p.weight(m); best.VM == "" || weight > bestWeight {
				best, bestWeight = m, weight
			}
		}
	}
	switch {
	case best.VM != "":
		return best, false
	case len(remote) > 0:
		return remote[p.random.IntN(len(remote))], false
	default:
		return recovering, true
	}
}

// weight orders the VMs of the zone. A draining VM reads for others only if it is the
// only one.
func (p *planner) weight(m membership.Member) uint64 {
	if m.Draining {
		return 0
	}
	return rendezvous.Weight(rendezvousKey, m.VM)
}

func (p *planner) usable(now time.Time, vm string) bool {
	if vm == p.self {
		return p.store.Over(now)
	}
	return p.sources[vm].Over(now)
}

// readsForZone reports whether this VM comes first in its zone.
func (p *planner) readsForZone(members []membership.Member) bool {
	local := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Zone != p.zone || !m.Available() })
	if len(local) == 0 {
		return true
	}
	first := slices.MaxFunc(local, func(a, b membership.Member) int { return cmp.Compare(p.weight(a), p.weight(b)) })
	return first.VM == p.self
}

// storeFailed starts a cooldown of the store.
func (p *planner) storeFailed(now time.Time, members []membership.Member) {
	bounds := otherRetry
	if p.readsForZone(members) {
		bounds = readerRetry
	}
	p.store.Extend(now, bounds)
	p.storeFailing = true
}

// storeAnswered ends the cooldown of the store.
func (p *planner) storeAnswered() { p.store, p.storeFailing = cooldown.Cooldown{}, false }

// sourceFailed starts a cooldown of a source.
func (p *planner) sourceFailed(now time.Time, vm string) {
	c := p.sources[vm]
	c.Extend(now, cooldown.Bounds{First: sourceRetryFactor * p.maxAge, Longest: longestSourceRetryFactor * p.maxAge})
	p.sources[vm] = c
}

func (p *planner) sourceAnswered(vm string) { delete(p.sources, vm) }
