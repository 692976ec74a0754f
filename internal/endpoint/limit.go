package endpoint

import (
	"fmt"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Limit is what an endpoint says of the number of requests that it takes.
type Limit struct {
	// Named says that the endpoint takes a limited number.
	Named bool
	// PerSecond is the number of requests per second that it takes from all VMs together.
	PerSecond float64
}

// observedLimit is the newest known limit of an endpoint.
type observedLimit struct {
	Limit
	// at is a time from which on the endpoint said so.
	at time.Time
}

// ObserveLimit records the limit that an endpoint names, or that it names none, from a time on.
// It reports whether the endpoint began or ceased to name one. An older observation changes
// nothing.
func (r *Registry) ObserveLimit(name string, limit Limit, at time.Time) bool {
	s := r.get(name)
	s.mu.Lock()
	known := s.limit
	newer := !at.Before(known.at)
	if newer {
		s.limit = observedLimit{Limit: limit, at: at}
	}
	s.mu.Unlock()
	if !newer || limit.Named == known.Named {
		return false
	}
	r.recordLimit(name, limit)
	return true
}

func (r *Registry) recordLimit(name string, limit Limit) {
	if limit.Named {
		r.Counters.Limited.Add(1)
		r.events.Record(timeline.EndpointLimited, "", fmt.Sprintf("%s to %.2f requests per second", name, limit.PerSecond))
		return
	}
	r.events.Record(timeline.EndpointUnlimited, "", name)
}

// Limit returns the newest known limit of an endpoint and the time from which on the endpoint
// said so; zero if it never named one.
func (r *Registry) Limit(name string) (Limit, time.Time) {
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Limit, s.limit.at
}
