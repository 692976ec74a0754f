// Package roles decides which engines run prefill and which run decode, and orders
// engines to change their role.
//
// Every order is entered in a journal on the platform before it is sent. The
// journal accepts an entry only if its writer has read all previous ones, so only
// one process at a time can give orders. No other leader election is needed.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// prefillShare is the share of a zone's engines that run prefill. A prompt of
	// 3,000 tokens takes about 90 ms of an engine's time, an answer of 800 tokens
	// that is generated alongside ten others about 340 ms. Decode engines prefill
	// the prompts that exceed the capacity of the prefill engines.
	prefillShare = 0.17
	// minEnginesForPrefill is the number of engines from which on at least one runs
	// prefill.
	minEnginesForPrefill = 3
	// largeImbalanceDelay is how long a zone must have been far out of balance
	// before an engine is ordered to change, so that a restart causes no order.
	// smallImbalanceDelay is the same for a smaller imbalance: an engine that
	// changes serves no requests for some seconds, which pays off only if the
	// imbalance lasts.
	largeImbalanceDelay = time.Second
	smallImbalanceDelay = 8 * time.Second
	// largeImbalanceRatio is the ratio between the present and the wanted number of
	// prefill engines, in either direction, from which on a zone is far out of
	// balance.
	largeImbalanceRatio = 1.5
	// registrationQuietPeriod is how long a zone's number of engines must have been
	// unchanged before an order. Engines register one after the other when a site
	// starts.
	registrationQuietPeriod = 1300 * time.Millisecond
	// orderInterval is the least time between two orders to engines of one zone. An
	// engine that changes serves no requests for some seconds.
	orderInterval = 700 * time.Millisecond
	// orderTimeout is how long an order may take to have an effect. Until then the
	// engine counts under the ordered role.
	orderTimeout = 15 * time.Second
)

// Change is an order to one engine.
type Change struct {
	Engine *configuration.Endpoint
	To     configuration.Role
}

// group is the engines of one model in one zone.
type group struct {
	model, zone string
}

// pendingOrder is an order that may not have taken effect yet.
type pendingOrder struct {
	role  configuration.Role
	until time.Time
}

// planner tracks how long each group has been out of balance. It has no clock;
// its methods take the current time.
type planner struct {
	unbalancedSince map[group]time.Time
	// sizes are the numbers of engines, sizeChanged when they last changed.
	sizes       map[group]int
	sizeChanged map[group]time.Time
	lastOrder   map[group]time.Time
	pending     map[string]pendingOrder
	// noDecodeSince are the times since which builds have had no decode engine
	// although they must have one.
	noDecodeSince map[build]time.Time
}

func newPlanner() *planner {
	return &planner{
		unbalancedSince: make(map[group]time.Time),
		sizes:           make(map[group]int),
		sizeChanged:     make(map[group]time.Time),
		lastOrder:       make(map[group]time.Time),
		pending:         make(map[string]pendingOrder),
		noDecodeSince:   make(map[build]time.Time),
	}
}

// plan returns the orders that are due. The given engines must not include leaving
// ones.
func (p *planner) plan(now time.Time, engines []*configuration.Endpoint) []Change {
	groups := make(map[group][]*configuration.Endpoint)
	for _, e := range engines {
		key := group{e.Model, e.Zone}
		groups[key] = append(groups[key], e)
	}
	counts := p.countBuilds(now, engines)
	p.trackBuilds(now, counts)
	var changes []Change
	for _, key := range sortedGroups(groups) {
		if change, due := p.planGroup(now, key, groups[key], counts); due {
			counts.apply(change)
			changes = append(changes, change)
		}
	}
	return changes
}

// planGroup returns the next order to an engine of a group. A build without a decode
// engine comes before the zone's balance, which another engine of the zone can restore.
func (p *planner) planGroup(now time.Time, key group, engines []*configuration.Endpoint, counts builds) (Change, bool) {
	byRole := map[configuration.Role][]*configuration.Endpoint{}
	for _, e := range engines {
		role := p.roleOf(now, e)
		byRole[role] = append(byRole[role], e)
	}
	have, want := len(byRole[configuration.RolePrefill]), wantedPrefill(len(engines))
	excess := have - want
	if p.sizes[key] != len(engines) {
		p.sizes[key] = len(engines)
		p.sizeChanged[key] = now
	}
	if excess == 0 {
		delete(p.unbalancedSince, key)
	} else if p.unbalancedSince[key].IsZero() {
		p.unbalancedSince[key] = now
	}
	if now.Sub(p.sizeChanged[key]) < registrationQuietPeriod || now.Sub(p.lastOrder[key]) < orderInterval {
		return Change{}, false
	}
	if chosen := p.engineForBuild(now, counts, byRole[configuration.RolePrefill]); chosen != nil {
		return Change{Engine: chosen, To: configuration.RoleDecode}, true
	}
	if excess == 0 || now.Sub(p.unbalancedSince[key]) < imbalanceDelay(have, want) {
		return Change{}, false
	}
	from, to := configuration.RolePrefill, configuration.RoleDecode
	if excess < 0 {
		from, to = to, from
	}
	chosen := counts.choose(byRole[from], to)
	return Change{Engine: chosen, To: to}, chosen != nil
}

// imbalanceDelay returns how long an imbalance must last before an order.
func imbalanceDelay(have, want int) time.Duration {
	more, less := float64(max(have, want)), float64(min(have, want))
	if more >= largeImbalanceRatio*less {
		return largeImbalanceDelay
	}
	return smallImbalanceDelay
}

// recordOrder records an order of this or another process.
func (p *planner) recordOrder(now time.Time, entry *Entry) {
	p.pending[entry.Engine] = pendingOrder{entry.Role, now.Add(orderTimeout)}
	p.lastOrder[group{entry.Model, entry.Zone}] = now
}

// roleOf returns the role of an engine, or the role that a pending order gives it.
func (p *planner) roleOf(now time.Time, e *configuration.Endpoint) configuration.Role {
	order, ok := p.pending[e.Name]
	switch {
	case !ok:
		return e.Role
	case !now.Before(order.until):
		delete(p.pending, e.Name)
		return e.Role
	}
	return order.role
}

// wantedPrefill returns how many of a group's engines should run prefill.
func wantedPrefill(engines int) int {
	if engines < minEnginesForPrefill {
		return 0
	}
	return max(1, int(math.Round(prefillShare*float64(engines))))
}

func sortedGroups(groups map[group][]*configuration.Endpoint) []group {
	keys := make([]group, 0, len(groups))
	for key := range groups {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y group) int {
		return cmp.Or(cmp.Compare(x.model, y.model), cmp.Compare(x.zone, y.zone))
	})
	return keys
}
