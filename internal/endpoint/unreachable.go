package endpoint

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// baseUnreachable and maxUnreachable bound how long an endpoint is skipped after a
	// connection to it failed. A partition lasts for seconds, and one attempt costs its
	// caller a quarter of a second.
	baseUnreachable = 500 * time.Millisecond
	maxUnreachable  = 4 * time.Second
)

// MarkUnreachable records that a connection to an endpoint failed. The endpoint is
// skipped for a time that doubles with each consecutive failure. Unlike an ejection,
// this takes a single failure and is not limited by the group: a call that cannot be
// sent costs its caller the whole time of the attempt.
func (r *Registry) MarkUnreachable(name string) {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	s.unreachable.Fail(now, cooldown.Bounds{First: baseUnreachable, Longest: maxUnreachable})
	s.mu.Unlock()
}

// reachable reports whether a connection to an endpoint may be tried.
func (r *Registry) reachable(name string) bool {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable.Over(now)
}

// preferReachable removes endpoints that were recently unreachable, unless there are
// no others.
func (r *Registry) preferReachable(endpoints []*configuration.Endpoint) []*configuration.Endpoint {
	reachable := slices.DeleteFunc(slices.Clone(endpoints), func(e *configuration.Endpoint) bool { return !r.reachable(e.Name) })
	if len(reachable) == 0 {
		return endpoints
	}
	return reachable
}
