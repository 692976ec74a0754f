// Package team identifies the team that sends a request by its API key, and holds what the
// configuration states about teams: their priorities and quotas.
//
// Keys are kept and compared as digests only. A Directory is immutable: a new configuration
// brings a new one, so that a removed key is unknown as soon as its configuration is in force.
package team

// Unit is what a quota counts.
type Unit string

// The units of quotas.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts the prompt's tokens and the maximum output of each request.
	Tokens Unit = "tokens"
)

// Quota limits the requests of a team over all VMs together. The zero value sets no limit.
type Quota struct {
	Unit Unit
	// PlainTokens is the cost in tokens of a request that states no token counts.
	PlainTokens int64
	// PerSecond is the sustained rate in units per second, 0 for no limit.
	PerSecond float64
	// Burst is the number of units that may be used at once after a pause.
	Burst float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns the cost of a request in the quota's unit. Requests without token counts pass
// zero for both.
func (q Quota) Cost(promptTokens, maxOutputTokens int) int64 {
	if q.Unit != Tokens {
		return 1
	}
	if promptTokens <= 0 && maxOutputTokens <= 0 {
		return q.PlainTokens
	}
	return int64(promptTokens) + int64(maxOutputTokens)
}

// Team is a group of callers that share keys, a priority and a quota.
type Team struct {
	Name string
	// Priority takes precedence over the priorities of routes; 0 is the most urgent. Without
	// it only the route's priority counts.
	Priority *int
	Quota    Quota
	// share is set by NewDirectory for teams with a limit.
	share float64
}

// Share returns the team's share of contended capacity: its rate limit relative to the mean limit of
// the teams whose quotas have the same unit, 1 if it has no limit.
func (t *Team) Share() float64 {
	if t.share > 0 {
		return t.share
	}
	return 1
}
