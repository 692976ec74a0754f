package scheduling

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/engine"
)

var errorNamespace = errorx.NewNamespace("scheduling").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// UnknownPolicy means that no policy has the name.
var UnknownPolicy = errorNamespace.NewType("unknown-policy")

// Policy decides on the demands of one model. All methods take the time;
// implementations are not safe for concurrent use.
type Policy interface {
	// Submit grants, refuses or queues a demand.
	Submit(now time.Time, d Demand) Outcome
	// Cancel withdraws a waiting demand or releases a grant.
	Cancel(now time.Time, id engine.AttemptID)
	// Progress processes a holder's report on a granted attempt.
	Progress(now time.Time, p Progress)
	// Renew processes a heartbeat that lists all attempts of a holder. It
	// returns the number of records that name an unknown attempt and are too
	// incomplete to adopt it.
	Renew(now time.Time, vm string, incarnation uint64, held []Held) int
	// HolderGone releases all grants of a holder that is gone.
	HolderGone(now time.Time, vm string, incarnation uint64)
	// SetEngines replaces the engines.
	SetEngines(now time.Time, states []EngineState)
	// ObserveLoad processes an engine's load report.
	ObserveLoad(now time.Time, name string, report engine.LoadReport)
	// CacheEvents processes prefix cache events of an engine; gap is set if
	// events before them were lost.
	CacheEvents(now time.Time, name string, events []CacheEvent, gap bool)
	// Tick returns the decisions on waiting demands since the last call.
	Tick(now time.Time) []Outcome
	// NextWake returns when Tick is to be called next.
	NextWake(now time.Time) time.Time
}

// The names of the policies. All but PolicyReservation are baselines: they
// grant every demand immediately and leave the queueing to the engines.
const (
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoad   = "least-load"
	PolicyTwoChoices  = "p2c"
	PolicyReservation = "reservation"
)

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	return []string{PolicyRoundRobin, PolicyLeastLoad, PolicyTwoChoices, PolicyReservation}
}

// NewPolicy returns a new policy by name.
func NewPolicy(name string, settings Settings) (Policy, error) {
	switch name {
	case PolicyRoundRobin:
		return newBaseline(&roundRobin{}, &roundRobin{}), nil
	case PolicyLeastLoad:
		return newBaseline(&leastLoad{}, &leastLoad{}), nil
	case PolicyTwoChoices:
		return newBaseline(newTwoChoices(settings.Seed), newTwoChoices(settings.Seed+1)), nil
	case PolicyReservation:
		return NewCoordinator(settings), nil
	}
	return nil, UnknownPolicy.New("%q", name)
}
