// Package endpoint keeps what an entry VM knows about endpoints beyond the
// configuration: which are leaving, which are ejected as outliers, and how many
// calls this VM has in flight on each.
//
// Signals and their trust: an endpoint's own reply that it is leaving is
// believed at once; the platform's list lags and only adds to it.
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
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// leavingHold is how long an endpoint's own word that it is leaving outlasts a
// platform list that shows it as live.
const leavingHold = time.Minute

// Status is what is known about one endpoint.
type Status struct {
	inFlight atomic.Int64

	mu          sync.Mutex
	outlier     outlier
	load        reported
	failures    failures
	unreachable cooldown.Cooldown
	saidLeaving time.Time
	listed      bool
	listedAs    vmlist.State
	disappeared bool
}

// Counters count what the registry did. The zero value is ready to use.
type Counters struct {
	// Ejected and Restored count outlier ejections and their ends.
	Ejected, Restored atomic.Int64
	// Leaving counts endpoints that began to leave.
	Leaving atomic.Int64
}

// Registry holds the status of endpoints by name. It is safe for concurrent use.
type Registry struct {
	// Counters are read by the metrics.
	Counters Counters

	events timeline.Recorder
	now    func() time.Time
	// random returns a number from 0 to below 1; it is safe for concurrent use.
	random func() float64
	status sync.Map // endpoint name -> *Status
}

// NewRegistry returns an empty registry.
func NewRegistry(events timeline.Recorder) *Registry {
	return &Registry{events: events, now: time.Now, random: rand.Float64}
}

func (r *Registry) get(name string) *Status {
	if found, ok := r.status.Load(name); ok {
		return found.(*Status)
	}
	created, _ := r.status.LoadOrStore(name, &Status{})
	return created.(*Status)
}

// Begin counts a call in flight; the returned function ends it.
func (r *Registry) Begin(name string) func() {
	s := r.get(name)
	s.inFlight.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// InFlight returns the number of this VM's calls in flight on an endpoint.
func (r *Registry) InFlight(name string) int { return int(r.get(name).inFlight.Load()) }

// MarkLeaving records an endpoint's own word that it is leaving.
func (r *Registry) MarkLeaving(name string) {
	s := r.get(name)
	s.mu.Lock()
	first := s.saidLeaving.IsZero()
	s.saidLeaving = r.now()
	s.mu.Unlock()
	if first {
		r.recordLeaving(name, "own reply")
	}
}

func (r *Registry) recordLeaving(name, source string) {
	r.Counters.Leaving.Add(1)
	r.events.Record(timeline.EndpointLeaving, "", name+" by "+source)
}

// ApplyList takes a fresh answer of the platform's list.
func (r *Registry) ApplyList(list vmlist.List) {
	present := make(map[string]vmlist.State, len(list.VMs))
	for _, vm := range list.VMs {
		present[vm.Name] = vm.State
		r.get(vm.Name)
	}
	r.status.Range(func(key, value any) bool {
		name := key.(string)
		state, listed := present[name]
		if value.(*Status).applyListed(r.now(), state, listed) {
			r.recordLeaving(name, "platform list")
		}
		return true
	})
}

// applyListed updates one endpoint and reports whether the list shows it as
// leaving for the first time.
func (s *Status) applyListed(now time.Time, state vmlist.State, listed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := listed && state == vmlist.Leaving && s.listedAs != vmlist.Leaving
	returned := listed && state == vmlist.Live && (s.disappeared || s.listedAs == vmlist.Leaving)
	held := !s.saidLeaving.IsZero() && now.Sub(s.saidLeaving) < leavingHold
	if returned || (listed && state == vmlist.Live && !held) {
		s.saidLeaving = time.Time{}
	}
	s.disappeared = s.listed && !listed
	s.listed = s.listed || listed
	if listed {
		s.listedAs = state
	}
	return began
}

// Leaving reports whether an endpoint must get no new work.
func (r *Registry) Leaving(name string) bool {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.saidLeaving.IsZero() || s.listedAs == vmlist.Leaving || s.disappeared
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

// Observe records the outcome of a call to an endpoint. The group are the names
// of all endpoints that do the same work; it bounds ejections.
func (r *Registry) Observe(name string, group []string, ok bool, latency time.Duration) {
	s := r.get(name)
	s.mu.Lock()
	s.outlier.observe(ok, latency)
	s.failures.observe(r.now(), ok)
	if ok {
		s.unreachable = cooldown.Cooldown{}
	}
	suspicious := !s.outlier.ejected && (s.outlier.failing() || s.outlier.latency >= slowFloor)
	s.mu.Unlock()
	if suspicious {
		r.judge(name, group)
	}
}

// judge ejects an endpoint that fails or is slow, if the group allows it.
func (r *Registry) judge(name string, group []string) {
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

// groupState returns the median latency of a group and how many are ejected.
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

// PickLeastLoaded chooses among usable endpoints by the power of two choices on how
// full they are, as far as this VM's calls in flight and the endpoints' own reports
// tell, and on how often they fail. Endpoints of the zone are preferred unless those
// of others are much better. It returns nil if none is usable.
func (r *Registry) PickLeastLoaded(candidates []*configuration.Endpoint, zone string, exclude []string) *configuration.Endpoint {
	usable := make([]*configuration.Endpoint, 0, len(candidates))
	for _, e := range candidates {
		if !slices.Contains(exclude, e.Name) && r.Usable(e.Name) {
			usable = append(usable, e)
		}
	}
	usable = r.preferReachable(usable)
	var near, far []*configuration.Endpoint
	for _, e := range usable {
		if e.Zone == zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	return r.nearOrFar(r.betterOfTwo(near), r.betterOfTwo(far))
}

// nearOrFar chooses between an endpoint of the own zone and one of another; either
// may be nil. Requests leave the zone only for an endpoint with known slots.
func (r *Registry) nearOrFar(near, far *configuration.Endpoint) *configuration.Endpoint {
	switch {
	case near == nil:
		return far
	case far == nil || near.Slots == 0 || far.Slots == 0:
		return near
	case r.random() < farShare(r.cost(near), r.cost(far)):
		return far
	}
	return near
}

// betterOfTwo returns the cheaper one of two random endpoints, nil if there is none.
func (r *Registry) betterOfTwo(usable []*configuration.Endpoint) *configuration.Endpoint {
	switch len(usable) {
	case 0:
		return nil
	case 1:
		return usable[0]
	}
	first := r.randomIndex(len(usable))
	second := (first + 1 + r.randomIndex(len(usable)-1)) % len(usable)
	if r.cost(usable[second]) < r.cost(usable[first]) {
		return usable[second]
	}
	return usable[first]
}

// randomIndex returns a random number below n.
func (r *Registry) randomIndex(n int) int { return int(r.random() * float64(n)) }
