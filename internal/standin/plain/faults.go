package plain

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// Faults are the failures that a Service can simulate.
type Faults struct {
	// LoseReplies is the fraction of calls, 0 to 1, whose reply is lost after the
	// execution.
	LoseReplies float64 `json:"lose_replies"`
	// LoseNextReplies is the number of further calls whose reply is lost.
	LoseNextReplies int `json:"lose_next_replies"`
	// CutReplies closes the connection in the middle of every reply's body.
	CutReplies bool `json:"cut_replies"`
	// Slow is added to the time that a call takes.
	Slow configuration.Duration `json:"slow"`
	// Leaving adds LeavingHeader to every reply. Calls are still executed.
	Leaving bool `json:"leaving"`
	// RefuseWhenLeaving rejects calls with status 503 while Leaving is set.
	RefuseWhenLeaving bool `json:"refuse_when_leaving"`
}

// Counts are the counters of a Service since its start.
type Counts struct {
	// Executions is the number of calls executed.
	Executions int `json:"executions"`
	// ByKey and ByRequest count executions by Idempotency-Key and X-Request-Id.
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
	// RepliesLost is the number of executions whose reply was lost or incomplete.
	RepliesLost int `json:"replies_lost"`
	// AfterLeaving is the number of calls received while Leaving was set.
	AfterLeaving int `json:"after_leaving"`
	// Active is the number of calls in flight.
	Active int `json:"active"`
}
