package reservation

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// unreachableFirst and unreachableMax bound how long an owner that did not
	// answer is passed over; the time doubles with each failure.
	unreachableFirst = 500 * time.Millisecond
	unreachableMax   = 8 * time.Second
)

// routeKey names the engines of one model in one zone.
type routeKey struct {
	zone, model string
}

// route is the way to the owner of a model.
type route struct {
	key   routeKey
	owner membership.Member
	// broken is closed when another VM becomes the owner or this one falls
	// silent, and made anew in the latter case.
	broken chan struct{}
	// calls counts the reservations in flight to the owner.
	calls int
	// former are earlier routes with reservations in flight. A grant of a former
	// owner must be known before the new owner is told what is held.
	former []*route
}

// ticket is a reservation in flight to an owner.
type ticket struct {
	route *route
	owner membership.Member
	// broken is closed when the owner's answer is not worth waiting for.
	broken <-chan struct{}
	// silent says that the owner did not answer lately.
	silent bool
}

// router finds owners by rendezvous hashing over the members of a zone.
type router struct {
	view membership.View

	mu          sync.Mutex
	routes      map[routeKey]*route
	unreachable map[string]cooldown.Cooldown
}

func newRouter(view membership.View) *router {
	return &router{
		view:        view,
		routes:      make(map[routeKey]*route),
		unreachable: make(map[string]cooldown.Cooldown),
	}
}

// acquire returns the route to the owner and counts a reservation in flight.
func (r *router) acquire(key routeKey) (ticket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(key)
	if current == nil {
		return ticket{}, OwnerUnreachable.New("no member in zone %s", key.zone)
	}
	current.calls++
	return ticket{
		route:  current,
		owner:  current.owner,
		broken: current.broken,
		silent: r.silent(current.owner.VM),
	}, nil
}

// release ends a reservation in flight.
func (r *router) release(t ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.route.calls--
}

// current returns the owner of a model, false if there is none.
func (r *router) current(key routeKey) (membership.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(key)
	if current == nil {
		return membership.Member{}, false
	}
	return current.owner, true
}

// settled reports whether the owner may be told what is held, because no
// reservation with a former owner is in flight.
func (r *router) settled(key routeKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(key)
	if current == nil {
		return false
	}
	for len(current.former) > 0 && current.former[0].calls == 0 {
		current.former = current.former[1:]
	}
	return len(current.former) == 0
}

// markUnreachable ends the reservations in flight to a VM and passes it over
// for a while.
func (r *router) markUnreachable(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, current := range r.routes {
		if current.owner.VM == vm {
			close(current.broken)
			current.broken = make(chan struct{})
		}
	}
	last := r.unreachable[vm]
	last.Fail(time.Now(), cooldown.Bounds{First: unreachableFirst, Longest: unreachableMax})
	r.unreachable[vm] = last
}

// markReachable ends the effect of former failures.
func (r *router) markReachable(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreachable, vm)
}

// update recomputes a route; the lock is held.
func (r *router) update(key routeKey) *route {
	owner, ok := r.pick(key)
	current := r.routes[key]
	if !ok {
		return nil
	}
	if current != nil && current.owner.VM == owner.VM {
		current.owner = owner
		return current
	}
	next := &route{key: key, owner: owner, broken: make(chan struct{})}
	if current != nil {
		close(current.broken)
		next.former = slices.Concat(current.former, []*route{current})
	}
	r.routes[key] = next
	return next
}

// pick returns the member with the highest hash; the lock is held. A draining
// member owns a model only where no other is left. A member that does not
// answer is passed over only if the view suspects it too: as long as others
// reach it, it remains the owner, and a second one would overfill the engines.
func (r *router) pick(key routeKey) (membership.Member, bool) {
	var best membership.Member
	var bestHash uint64
	found := false
	for _, m := range r.view.Members() {
		if m.Zone != key.zone || m.State == membership.Suspect && r.failedLately(m.VM) {
			continue
		}
		hash := rendezvousHash(m.VM, key.model)
		if !found || preferred(m, hash, best, bestHash) {
			best, bestHash, found = m, hash, true
		}
	}
	return best, found
}

// silent reports whether a VM did not answer lately; the lock is held.
func (r *router) silent(vm string) bool {
	return !r.unreachable[vm].Over(time.Now())
}

// failedLately reports whether a VM did not answer within the longest absence;
// the lock is held.
func (r *router) failedLately(vm string) bool {
	last, failed := r.unreachable[vm]
	return failed && time.Since(last.Until()) < unreachableMax
}

// preferred reports whether m comes before best.
func preferred(m membership.Member, hash uint64, best membership.Member, bestHash uint64) bool {
	if m.Draining != best.Draining {
		return best.Draining
	}
	return hash > bestHash
}

// rendezvousHash returns the weight of a VM for a model. It keeps its order of
// words, unlike package rendezvous, so that VMs of different versions agree on
// the owner: a model with two owners may overfill its engines for a time.
func rendezvousHash(vm, model string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + model)
}

// zoneMembers returns the names of the VMs of a zone.
func zoneMembers(view membership.View, zone string) []string {
	var names []string
	for _, m := range view.Members() {
		if m.Zone == zone {
			names = append(names, m.VM)
		}
	}
	return names
}
