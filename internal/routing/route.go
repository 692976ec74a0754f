// Package routing selects the route of a request by host and longest path
// prefix. A Table is immutable and is read without a lock.
package routing

import (
	"slices"
	"time"
)

// Kind determines how often a request of the route may run.
type Kind string

// The kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// SingleRun requests may run at most once.
	SingleRun Kind = "single-run"
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming Kind = "streaming"
)

// Destination is one service of a route and its share of the requests.
type Destination struct {
	Service string
	// Weight is relative to the sum over the route's destinations.
	Weight int
}

// Route holds the rules for all requests with one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another endpoint after their last event.
	Resumable    bool
	Destinations []Destination
	// UnchangedSince is the time at which this process first saw the route with its destinations,
	// without a change since then.
	UnchangedSince time.Time
	// FormerServices are the services to which requests of the route went before a change that this process saw, with
	// the time of the latest such change. Changes longer ago than formerRetention may be missing.
	FormerServices map[string]time.Time
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int
	// Timeout is the maximum time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the target for the time to the answer, or to the first event of a
	// stream. A later answer is not on time.
	Objective time.Duration
	// GapObjective is the target for the longest pause between two events of a stream.
	GapObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Anonymous means that requests need no key, if the configuration has teams.
	Anonymous bool
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Service == service && d.Weight > 0 })
}

// LeadsOnlyTo reports whether requests of the route may go to no other service.
func (r *Route) LeadsOnlyTo(service string) bool {
	return !slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Service != service && d.Weight > 0 })
}

// LedElsewhere reports whether requests of the route are known to have gone to another service after a time.
func (r *Route) LedElsewhere(service string, after time.Time) bool {
	for former, until := range r.FormerServices {
		if former != service && until.After(after) {
			return true
		}
	}
	return false
}

// RunsOnce reports whether a request of the route may run at most once.
func (r *Route) RunsOnce() bool {
	return r.Kind == SingleRun || r.Kind == Streaming && !r.Resumable
}

// Engines is the configuration of a service's model engines.
type Engines struct {
	// Slots is the number of requests that an engine runs at a time.
	Slots int
	// MemoryTokens is the size of an engine's KV cache in tokens, TokenBytes the size
	// of the KV cache of one token.
	MemoryTokens int
	TokenBytes   int64
	// TokensPerEvent is the number of tokens that one event of a stream carries.
	TokensPerEvent int
	// LinkBytesPerSecond is the rate of an engine's link for KV cache transfers.
	LinkBytesPerSecond int64
	// Retention is how long an engine keeps a prefill's KV cache for its transfer.
	Retention time.Duration
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one endpoint, summed over all callers.
	MaxConnections int
	// Engines is nil for plain services.
	Engines *Engines
}

// Limits are the limits on requests of callers.
type Limits struct {
	BodyBytes int64
}
