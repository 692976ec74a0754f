package lease

import "time"

// exclusions holds the endpoints that get no new work, each with the log time at
// which its exclusion ends. It is immutable.
type exclusions struct {
	clock logClock
	until map[string]time.Time
}

func (m *Manager) newExclusions() *exclusions {
	next := &exclusions{clock: m.clock, until: make(map[string]time.Time)}
	for _, state := range m.fold.leases {
		for _, endpoint := range state.Excluded {
			if state.Expires.After(next.until[endpoint]) {
				next.until[endpoint] = state.Expires
			}
		}
	}
	return next
}

// Excluded reports whether an endpoint gets no new work because the holder of a
// lease is carrying out an order on it. It takes no lock.
func (m *Manager) Excluded(endpoint string) bool {
	current := m.exclusions.Load()
	until, found := current.until[endpoint]
	return found && current.clock.now().Before(until)
}
