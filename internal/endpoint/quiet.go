package endpoint

import "time"

// Announcement is what an endpoint says of itself in an answer to any call.
type Announcement struct {
	// Leaving is set if it leaves.
	Leaving bool
	// Quiet is the time for which it wants no calls of this VM; 0 if it takes them.
	Quiet time.Duration
}

// Announce records what an endpoint announced.
func (r *Registry) Announce(name string, a Announcement) {
	if a.Leaving {
		r.MarkLeaving(name)
	}
	if a.Quiet > 0 {
		r.MarkQuiet(name, a.Quiet)
	}
}

// MarkQuiet records that an endpoint wants no requests of this VM for a time. The time holds until its
// end; a new start of the endpoint has another name.
func (r *Registry) MarkQuiet(name string, d time.Duration) {
	s := r.get(name)
	until := r.now().Add(d)
	for latest := r.latestQuiet.Load(); latest == nil || until.After(*latest); latest = r.latestQuiet.Load() {
		if r.latestQuiet.CompareAndSwap(latest, &until) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.quietUntil) {
		s.quietUntil = until
		r.Counters.Quieted.Add(1)
	}
}

// QuietFor returns the time for which an endpoint still wants no requests of this VM; 0 if it
// takes them. Times are compared by their monotonic readings, which a step of the time of day does not
// change.
func (r *Registry) QuietFor(name string) time.Duration {
	latest := r.latestQuiet.Load()
	if latest == nil {
		return 0
	}
	now := r.now()
	if !now.Before(*latest) {
		return 0
	}
	s := r.get(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.quietUntil.Sub(now))
}
