package team

import "sync/atomic"

// Counters count decisions on the keys of requests. The zero value is ready to use.
type Counters struct {
	// Authenticated counts requests that were accepted for a team, Anonymous those accepted
	// without one.
	Authenticated, Anonymous atomic.Int64
	// Missing, Malformed, Unknown and Shared count requests that were denied, by reason.
	Missing, Malformed, Unknown, Shared atomic.Int64
	// Outdated counts requests that were refused because their key may have been added meanwhile,
	// Expired those whose key may have been removed meanwhile.
	Outdated, Expired atomic.Int64
	// Withdrawn counts requests whose key was no longer accepted before they were first sent.
	Withdrawn atomic.Int64
}

// Count counts the verdict on a request that arrived.
func (c *Counters) Count(v Verdict) {
	switch {
	case v.Accepted() && v.Team != nil:
		c.Authenticated.Add(1)
	case v.Accepted():
		c.Anonymous.Add(1)
	case v.Reason == Expired:
		c.Expired.Add(1)
	case v.Outdated:
		c.Outdated.Add(1)
	default:
		c.denied(v.Reason).Add(1)
	}
}

// denied returns the counter of requests that were denied for a reason.
func (c *Counters) denied(reason Reason) *atomic.Int64 {
	switch reason {
	case Missing:
		return &c.Missing
	case Malformed:
		return &c.Malformed
	case Shared:
		return &c.Shared
	}
	return &c.Unknown
}
