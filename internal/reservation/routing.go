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
	// unreachableCooldown and maxUnreachableCooldown are the shortest and the
	// longest time for which an owner that did not respond is skipped; the time
	// doubles with each failure.
	unreachableCooldown    = 500 * time.Millisecond
	maxUnreachableCooldown = 8 * time.Second
)

// routeKey identifies the engines of one model in one zone.
type routeKey struct {
	zone, model string
}

// route is the current owner of a model and the reservations in flight to it.
type route struct {
	key   routeKey
	owner membership.Member
	// invalidated is closed when another VM becomes the owner or the owner is
	// marked unreachable. In the latter case a new channel replaces it.
	invalidated chan struct{}
	// inFlight is the number of reservations in flight to the owner.
	inFlight int
	// previous are the routes to previous owners with reservations in flight.
	// The grants of those owners must be known before the grants held are
	// reported to the new owner.
	previous []*route
}

// routeRef is a reservation in flight to an owner.
type routeRef struct {
	route *route
	owner membership.Member
	// invalidated is closed when the owner's response need not be awaited any
	// longer.
	invalidated <-chan struct{}
	// unresponsive reports that the owner recently did not respond.
	unresponsive bool
}

// router determines owners by rendezvous hashing over the members of a zone.
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
func (r *router) acquire(key routeKey) (routeRef, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(key)
	if current == nil {
		return routeRef{}, OwnerUnreachable.New("no member in zone %s", key.zone)
	}
	current.inFlight++
	return routeRef{
		route:        current,
		owner:        current.owner,
		invalidated:  current.invalidated,
		unresponsive: r.unresponsive(current.owner.VM),
	}, nil
}

// release ends a reservation in flight.
func (r *router) release(ref routeRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ref.route.inFlight--
}

// ownerOf returns the owner of a model, false if there is none.
func (r *router) ownerOf(key routeKey) (membership.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(key)
	if current == nil {
		return membership.Member{}, false
	}
	return current.owner, true
}

// settled reports whether the grants held may be reported to the owner: no
// reservation with a previous owner is in flight.
func (r *router) settled(key routeKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.update(key)
	if current == nil {
		return false
	}
	for len(current.previous) > 0 && current.previous[0].inFlight == 0 {
		current.previous = current.previous[1:]
	}
	return len(current.previous) == 0
}

// markUnreachable cancels the reservations in flight to a VM and starts a
// cooldown in which it is skipped.
func (r *router) markUnreachable(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, current := range r.routes {
		if current.owner.VM == vm {
			close(current.invalidated)
			current.invalidated = make(chan struct{})
		}
	}
	last := r.unreachable[vm]
	last.Fail(time.Now(), cooldown.Bounds{First: unreachableCooldown, Longest: maxUnreachableCooldown})
	r.unreachable[vm] = last
}

// markReachable clears the failures of a VM.
func (r *router) markReachable(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unreachable, vm)
}

// update recomputes a route. The lock must be held.
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
	next := &route{key: key, owner: owner, invalidated: make(chan struct{})}
	if current != nil {
		close(current.invalidated)
		next.previous = slices.Concat(current.previous, []*route{current})
	}
	r.routes[key] = next
	return next
}

// pick returns the member with the highest hash. A draining member owns a model
// only if there is no other. A member that does not respond to this VM is
// skipped only if the membership view suspects it as well: as long as other VMs
// reach it, it remains the owner, and a second owner would overfill the
// engines. The lock must be held.
func (r *router) pick(key routeKey) (membership.Member, bool) {
	var best membership.Member
	var bestHash uint64
	found := false
	for _, m := range r.view.Members() {
		if m.Zone != key.zone || m.State == membership.Suspect && r.failedRecently(m.VM) {
			continue
		}
		hash := rendezvousHash(m.VM, key.model)
		if !found || preferred(m, hash, best, bestHash) {
			best, bestHash, found = m, hash, true
		}
	}
	return best, found
}

// unresponsive reports whether a VM recently did not respond. The lock must be
// held.
func (r *router) unresponsive(vm string) bool {
	return !r.unreachable[vm].Over(time.Now())
}

// failedRecently reports whether a VM is in a cooldown or left one less than
// maxUnreachableCooldown ago. The lock must be held.
func (r *router) failedRecently(vm string) bool {
	last, failed := r.unreachable[vm]
	return failed && time.Since(last.Until()) < maxUnreachableCooldown
}

// preferred reports whether m comes before best.
func preferred(m membership.Member, hash uint64, best membership.Member, bestHash uint64) bool {
	if m.Draining != best.Draining {
		return best.Draining
	}
	return hash > bestHash
}

// rendezvousHash returns the weight of a VM for a model. Unlike package
// rendezvous, it hashes the VM's name first. This order must stay, so that VMs
// of different versions agree on the owner: a model with two owners may
// overfill its engines for a time.
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
