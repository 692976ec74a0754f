package plain

import "github.com/ospreyshed/ospreyshed/internal/configuration"

// Faults are the failures that a Service can be made to show.
type Faults struct {
	// LoseReplies is the share of calls, 0 to 1, whose reply is lost after the
	// execution.
	LoseReplies float64 `json:"lose_replies"`
	// LoseNextReplies loses the replies of this many further calls.
	LoseNextReplies int `json:"lose_next_replies"`
	// CutReplies cuts every reply in the middle of its body.
	CutReplies bool `json:"cut_replies"`
	// Slow is added to the time that a call takes.
	Slow configuration.Duration `json:"slow"`
	// Leaving marks every reply as one of a leaving endpoint. Calls still run.
	Leaving bool `json:"leaving"`
	// RefuseWhenLeaving answers 503 instead of executing while Leaving is set.
	RefuseWhenLeaving bool `json:"refuse_when_leaving"`
}

// Counts are what a Service has done since its start.
type Counts struct {
	// Executions is the number of calls executed.
	Executions int `json:"executions"`
	// ByKey and ByRequest count executions by Idempotency-Key and X-Request-Id.
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
	// RepliesLost are executions whose reply was lost or cut.
	RepliesLost int `json:"replies_lost"`
	// AfterLeaving are calls that arrived after leaving began.
	AfterLeaving int `json:"after_leaving"`
	// Active are the calls that run now.
	Active int `json:"active"`
}
