package lease

import "time"

// Grant is the right to send orders, as its holder judges it.
type Grant struct {
	// Fencing is the number that orders carry.
	Fencing uint64
	// Until is the local time, with its monotonic reading, from which on
	// nothing may be sent.
	Until time.Time
}

// newGrant returns the grant of an append that was begun at a local time.
func newGrant(fencing uint64, appendStart time.Time, terms *Terms) Grant {
	return Grant{Fencing: fencing, Until: appendStart.Add(terms.sendWindow())}
}

// Valid reports whether the grant is valid now. It must be asked right before
// each order.
func (g Grant) Valid() bool { return g.validAt(time.Now()) }

// validAt asks the wall clock as well, since a monotonic clock may stand still
// while a VM is suspended. Either clock can only end the grant.
func (g Grant) validAt(now time.Time) bool {
	return now.Before(g.Until) && now.Round(0).Before(g.Until.Round(0))
}
