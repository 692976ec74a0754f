// Package endpoint tracks the state of endpoints that an entry VM observes, beyond
// the configuration: which are leaving, which are ejected as outliers, and how many
// calls this VM has in flight on each.
//
// An endpoint's own response that it is leaving takes effect at once. The platform's
// list lags behind and is only an additional source.
package endpoint

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/slowdown"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// leavingHold is how long an endpoint's own announcement that it is leaving takes
// precedence over a platform list that shows it as live.
const leavingHold = time.Minute

// State is the observed state of one endpoint.
type State struct {
	inFlight atomic.Int64

	mu       sync.Mutex
	outlier  outlier
	load     reportedLoad
	limit    observedLimit
	newest   newestLoad
	slowdown slowdown.Tracker
	service  serviceTime
	queue    queueLength
	// offered and accepted count the requests that this VM offered to the endpoint, also if it
	// did not send them, and those that the endpoint ran. demandAt is the time of the last change.
	offered, accepted float64
	demandAt          time.Time
	// own are the sums of this VM, zone those of its zone as this VM last received them.
	own, zone sums
	// quietUntil is the time until which the endpoint wants no requests of this VM.
	quietUntil       time.Time
	failures         failures
	unreachable      cooldown.Cooldown
	announcedLeaving time.Time
	listed           bool
	listedState      vmlist.State
	disappeared      bool
}

// Counters count changes of endpoints' states. The zero value is ready to use.
type Counters struct {
	// Ejected and Restored count outlier ejections and their ends.
	Ejected, Restored atomic.Int64
	// Leaving counts endpoints that started to leave.
	Leaving atomic.Int64
	// Quieted counts the times that endpoints asked for quiet.
	Quieted atomic.Int64
	// Limited counts the times that endpoints began to name a limit of requests.
	Limited atomic.Int64
	// NotOffered counts requests that were not sent to an endpoint that probably had declined
	// them.
	NotOffered atomic.Int64
	// FactsLearned counts the loads of endpoints that other VMs observed and that were newer
	// than what was known.
	FactsLearned atomic.Int64
}

// Registry holds the states of endpoints by name. It is safe for concurrent use.
type Registry struct {
	// Counters are read by the metrics.
	Counters Counters

	events timeline.Recorder
	now    func() time.Time
	// random returns a number from 0 to below 1; it is safe for concurrent use.
	random func() float64
	states sync.Map // endpoint name -> *State
	demand zoneDemand
	// latestQuiet is the latest time until which any endpoint asked for quiet; nil if none has asked.
	latestQuiet atomic.Pointer[time.Time]
}

// NewRegistry returns an empty registry.
func NewRegistry(events timeline.Recorder) *Registry {
	return &Registry{events: events, now: time.Now, random: rand.Float64}
}

func (r *Registry) get(name string) *State {
	if found, ok := r.states.Load(name); ok {
		return found.(*State)
	}
	created, _ := r.states.LoadOrStore(name, &State{})
	return created.(*State)
}

// Begin counts a call in flight; the returned function ends it.
func (r *Registry) Begin(name string) func() {
	s := r.get(name)
	s.inFlight.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// InFlight returns the number of this VM's calls in flight on an endpoint.
func (r *Registry) InFlight(name string) int { return int(r.get(name).inFlight.Load()) }

// MarkLeaving records an endpoint's own announcement that it is leaving.
func (r *Registry) MarkLeaving(name string) {
	s := r.get(name)
	s.mu.Lock()
	first := s.announcedLeaving.IsZero()
	s.announcedLeaving = r.now()
	s.mu.Unlock()
	if first {
		r.recordLeaving(name, "own reply")
	}
}

func (r *Registry) recordLeaving(name, source string) {
	r.Counters.Leaving.Add(1)
	r.events.Record(timeline.EndpointLeaving, "", name+" by "+source)
}

// ApplyList applies a new version of the platform's list.
func (r *Registry) ApplyList(list vmlist.List) {
	present := make(map[string]vmlist.State, len(list.VMs))
	for _, vm := range list.VMs {
		present[vm.Name] = vm.State
		r.get(vm.Name)
	}
	r.states.Range(func(key, value any) bool {
		name := key.(string)
		state, listed := present[name]
		if value.(*State).applyListed(r.now(), state, listed) {
			r.recordLeaving(name, "platform list")
		}
		return true
	})
}

// applyListed updates one endpoint and reports whether the list shows it as
// leaving for the first time.
func (s *State) applyListed(now time.Time, state vmlist.State, listed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := listed && state == vmlist.Leaving && s.listedState != vmlist.Leaving
	returned := listed && state == vmlist.Live && (s.disappeared || s.listedState == vmlist.Leaving)
	held := !s.announcedLeaving.IsZero() && now.Sub(s.announcedLeaving) < leavingHold
	if returned || (listed && state == vmlist.Live && !held) {
		s.announcedLeaving = time.Time{}
	}
	s.disappeared = s.listed && !listed
	s.listed = s.listed || listed
	if listed {
		s.listedState = state
	}
	return began
}

// Leaving reports whether an endpoint must get no new work.
func (r *Registry) Leaving(name string) bool {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.announcedLeaving.IsZero() || s.listedState == vmlist.Leaving || s.disappeared
}

// Usable reports whether an endpoint may get new work: it is neither leaving
// nor ejected.
func (r *Registry) Usable(name string) bool {
	return !r.Leaving(name) && r.share(name) > 0
}

func (r *Registry) share(name string) float64 {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	restored := s.outlier.restore(now)
	share := s.outlier.share(now)
	s.mu.Unlock()
	if restored {
		r.Counters.Restored.Add(1)
		r.events.Record(timeline.EndpointRestored, "", name)
	}
	return share
}

// Observe records the outcome of a call to an endpoint. The group names all
// endpoints that do the same work; only a part of it may be ejected at a time.
func (r *Registry) Observe(name string, group []string, ok bool, latency time.Duration) {
	s := r.get(name)
	s.mu.Lock()
	s.outlier.observe(ok, latency)
	s.failures.observe(r.now(), ok)
	s.ran(r.now(), ok, latency)
	if ok {
		s.unreachable = cooldown.Cooldown{}
	}
	outlying := !s.outlier.ejected && (s.outlier.failing() || s.outlier.latency >= slowFloor)
	s.mu.Unlock()
	if outlying {
		r.ejectOutlier(name, group)
	}
}

// ejectOutlier ejects an endpoint that fails or is slow, unless too many of its group
// are ejected already.
func (r *Registry) ejectOutlier(name string, group []string) {
	median, ejected := r.groupState(group)
	if !ejectionAllowed(ejected, len(group)) {
		return
	}
	s := r.get(name)
	s.mu.Lock()
	eject := !s.outlier.ejected && (s.outlier.failing() || s.outlier.slow(median))
	if eject {
		s.outlier.eject(r.now())
	}
	s.mu.Unlock()
	if eject {
		r.Counters.Ejected.Add(1)
		r.events.Record(timeline.EndpointEjected, "", name)
	}
}

// groupState returns the median latency of a group and the number of its ejected
// endpoints.
func (r *Registry) groupState(group []string) (time.Duration, int) {
	latencies := make([]time.Duration, 0, len(group))
	ejected := 0
	for _, name := range group {
		s := r.get(name)
		s.mu.Lock()
		if s.outlier.samples > 0 {
			latencies = append(latencies, s.outlier.latency)
		}
		if s.outlier.ejected {
			ejected++
		}
		s.mu.Unlock()
	}
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return 0, ejected
	}
	return latencies[(len(latencies)-1)/2], ejected
}

// PickLeastLoaded picks a usable endpoint that has not asked for quiet, by the power of two choices. Endpoints are
// compared by their utilization, known from this VM's calls in flight and the
// endpoints' own load reports, and by their failure rate. Endpoints in the zone are
// preferred unless those in other zones are much better. It returns nil if none is
// usable.
func (r *Registry) PickLeastLoaded(candidates []*configuration.Endpoint, zone string, exclude []string) *configuration.Endpoint {
	usable := make([]*configuration.Endpoint, 0, len(candidates))
	for _, e := range candidates {
		if !slices.Contains(exclude, e.Name) && r.QuietFor(e.Name) == 0 && r.Usable(e.Name) {
			usable = append(usable, e)
		}
	}
	usable = r.preferReachable(usable)
	var local, remote []*configuration.Endpoint
	for _, e := range usable {
		if e.Zone == zone {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	return r.chooseZone(r.betterOfTwo(local), r.betterOfTwo(remote))
}

// chooseZone chooses between an endpoint in the local zone and one in another; either
// may be nil. If there is a local endpoint, requests leave the zone only if the slots
// of both are known.
func (r *Registry) chooseZone(local, remote *configuration.Endpoint) *configuration.Endpoint {
	switch {
	case local == nil:
		return remote
	case remote == nil || local.Slots == 0 || remote.Slots == 0:
		return local
	case r.random() < remoteShare(r.excess(local, remote), r.cost(remote)):
		return remote
	}
	return local
}

// betterOfTwo returns the endpoint with the lower cost of two random ones, nil if
// there is none.
func (r *Registry) betterOfTwo(usable []*configuration.Endpoint) *configuration.Endpoint {
	switch len(usable) {
	case 0:
		return nil
	case 1:
		return usable[0]
	}
	first := r.randomIndex(len(usable))
	second := (first + 1 + r.randomIndex(len(usable)-1)) % len(usable)
	if r.better(usable[first], usable[second]) {
		return usable[second]
	}
	return usable[first]
}

// randomIndex returns a random number below n.
func (r *Registry) randomIndex(n int) int { return int(r.random() * float64(n)) }
