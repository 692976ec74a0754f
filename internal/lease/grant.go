package lease

import "time"

// Grant is the holder's local view of its right to send orders.
type Grant struct {
	// Fencing is the number that orders carry.
	Fencing uint64
	// Until is the local time, including its monotonic reading, from which on no
	// order may be sent.
	Until time.Time
}

// newGrant returns the grant for an append that started at a local time.
func newGrant(fencing uint64, appendStart time.Time, terms *Terms) Grant {
	return Grant{Fencing: fencing, Until: appendStart.Add(terms.sendWindow())}
}

// Valid reports whether the grant is valid now. Callers must check it immediately
// before sending each order.
func (g Grant) Valid() bool { return g.validAt(time.Now()) }

// validAt checks the wall clock as well as the monotonic clock, since the
// monotonic clock may stop while a VM is suspended. The grant ends as soon as
// either clock reaches Until.
func (g Grant) validAt(now time.Time) bool {
	return now.Before(g.Until) && now.Round(0).Before(g.Until.Round(0))
}
