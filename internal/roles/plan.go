// Package roles decides which engines read prompts and which generate, and has
// those that should change do so.
//
// Every order is entered in a journal on the platform before it is given. The
// journal takes an entry only if its writer knows all former ones, which makes
// one process at a time the holder of the duty; it needs no other election.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	// prefillShare is the part of a zone's engines that read prompts. A prompt of
	// 3,000 tokens takes an engine some 90 ms, an answer of 800 tokens among ten
	// others some 340 ms; decode engines read what exceeds the share.
	prefillShare = 0.17
	// minEnginesForPrefill is the number of engines from which on one reads prompts.
	minEnginesForPrefill = 3
	// largeImbalanceDelay is how long a zone must have been far out of balance before an
	// engine is ordered to change, so that a restart causes no order. driftTime is
	// that for a zone that is little out of balance: an engine that changes serves
	// nobody for some seconds, which is worth it only for a lasting state.
	largeImbalanceDelay = time.Second
	smallImbalanceDelay = 8 * time.Second
	// largeImbalanceRatio is the ratio of engines to wanted ones that is far out of balance.
	largeImbalanceRatio = 1.5
	// registrationQuietPeriod is how long a zone's number of engines must be unchanged.
	// Engines register one after the other when a site starts.
	registrationQuietPeriod = 1300 * time.Millisecond
	// orderInterval is the time between two orders to engines of one zone. An engine
	// that changes serves nobody for some seconds.
	orderInterval = 700 * time.Millisecond
	// orderTimeout is how long an order is expected to take effect.
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

// pendingOrder is an order that has not shown yet.
type pendingOrder struct {
	role  configuration.Role
	until time.Time
}

// planner keeps how long each group has been out of balance. It has no clock;
// its methods take the time.
type planner struct {
	unbalancedSince map[group]time.Time
	// sizes are the numbers of engines, and grown when they last changed.
	sizes       map[group]int
	sizeChanged map[group]time.Time
	lastOrder   map[group]time.Time
	pending     map[string]pendingOrder
}

func newPlanner() *planner {
	return &planner{
		unbalancedSince: make(map[group]time.Time),
		sizes:           make(map[group]int),
		sizeChanged:     make(map[group]time.Time),
		lastOrder:       make(map[group]time.Time),
		pending:         make(map[string]pendingOrder),
	}
}

// plan returns the orders that are due. Engines that leave are not among the
// given ones.
func (p *planner) plan(now time.Time, engines []*configuration.Endpoint) []Change {
	groups := make(map[group][]*configuration.Endpoint)
	for _, e := range engines {
		key := group{e.Model, e.Zone}
		groups[key] = append(groups[key], e)
	}
	var changes []Change
	for _, key := range sortedGroups(groups) {
		if change, due := p.planGroup(now, key, groups[key]); due {
			changes = append(changes, change)
		}
	}
	return changes
}

// planGroup returns the next order to an engine of a group.
func (p *planner) planGroup(now time.Time, key group, engines []*configuration.Endpoint) (Change, bool) {
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
		return Change{}, false
	}
	if p.unbalancedSince[key].IsZero() {
		p.unbalancedSince[key] = now
	}
	if now.Sub(p.sizeChanged[key]) < registrationQuietPeriod {
		return Change{}, false
	}
	if now.Sub(p.unbalancedSince[key]) < imbalanceDelay(have, want) || now.Sub(p.lastOrder[key]) < orderInterval {
		return Change{}, false
	}
	from, to := configuration.RolePrefill, configuration.RoleDecode
	if excess < 0 {
		from, to = to, from
	}
	if len(byRole[from]) == 0 {
		return Change{}, false
	}
	chosen := slices.MinFunc(byRole[from], func(x, y *configuration.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return Change{Engine: chosen, To: to}, true
}

// imbalanceDelay returns how long an imbalance is borne.
func imbalanceDelay(have, want int) time.Duration {
	more, less := float64(max(have, want)), float64(min(have, want))
	if more >= largeImbalanceRatio*less {
		return largeImbalanceDelay
	}
	return smallImbalanceDelay
}

// recordOrder takes an order that was given, by this process or another.
func (p *planner) recordOrder(now time.Time, entry *Entry) {
	p.pending[entry.Engine] = pendingOrder{entry.Role, now.Add(orderTimeout)}
	p.lastOrder[group{entry.Model, entry.Zone}] = now
}

// roleOf returns the role of an engine, or the one that it was ordered to take.
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

// wantedPrefill returns how many of a group's engines should read prompts.
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
