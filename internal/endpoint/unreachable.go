package endpoint

import "time"

const (
	// firstUnreachable and maxUnreachable bound how long an endpoint is passed over
	// to which no connection could be made. A partition lasts for seconds, and one
	// attempt costs its caller a quarter of a second.
	firstUnreachable = 500 * time.Millisecond
	maxUnreachable   = 4 * time.Second
)

// unreachable is the time for which an endpoint is passed over. The zero value
// stands for a reachable one.
type unreachable struct {
	failures int
	until    time.Time
}

// fail takes a connection that could not be made. Those that were under way
// before the time began count once.
func (u *unreachable) fail(now time.Time) {
	if now.Before(u.until) {
		return
	}
	u.failures++
	u.until = now.Add(min(firstUnreachable<<min(u.failures-1, 10), maxUnreachable))
}
