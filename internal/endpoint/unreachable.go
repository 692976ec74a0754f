package endpoint

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/cooldown"
)

const (
	// firstUnreachable and maxUnreachable bound how long an endpoint is passed over
	// to which no connection could be made. A partition lasts for seconds, and one
	// attempt costs its caller a quarter of a second.
	firstUnreachable = 500 * time.Millisecond
	maxUnreachable   = 4 * time.Second
)

// MarkUnreachable records that no connection to an endpoint could be made. It is
// passed over for a time that doubles with each failure in a row. Unlike an
// ejection, this needs no judgement and has no bound by the group: a call that
// cannot be sent costs its caller the whole time of the attempt.
func (r *Registry) MarkUnreachable(name string) {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	s.unreachable.Fail(now, cooldown.Bounds{First: firstUnreachable, Longest: maxUnreachable})
	s.mu.Unlock()
}

// reachable reports whether connections to an endpoint may be tried.
func (r *Registry) reachable(name string) bool {
	s := r.get(name)
	now := r.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable.Over(now)
}

// preferReachable leaves out endpoints that could not be reached lately, unless
// there are no others.
func (r *Registry) preferReachable(endpoints []*configuration.Endpoint) []*configuration.Endpoint {
	reachable := slices.DeleteFunc(slices.Clone(endpoints), func(e *configuration.Endpoint) bool { return !r.reachable(e.Name) })
	if len(reachable) == 0 {
		return endpoints
	}
	return reachable
}
