package engine

import (
	"slices"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Desired is the state that an order requests. Orders are idempotent.
type Desired struct {
	Role     configuration.Role
	Model    string
	Version  string
	Adapters []string
}

// Equal reports whether two states are the same.
func (d *Desired) Equal(other *Desired) bool {
	return d.Role == other.Role && d.Model == other.Model && d.Version == other.Version &&
		slices.Equal(d.Adapters, other.Adapters)
}

// Order requests a state of an engine.
type Order struct {
	// Fencing is the sender's fencing number.
	Fencing uint64
	// ID is unique per order.
	ID      string
	Desired Desired
}

// OrderResult is an engine's response to an order that it did not reject.
type OrderResult string

// The results of an order.
const (
	// OrderAccepted means that the engine is carrying out the order.
	OrderAccepted OrderResult = "accepted"
	// OrderInForce means that the engine is already in the desired state.
	OrderInForce OrderResult = "in-force"
)

// State is an engine's report of its state in force. Unlike a LoadReport it is
// always up to date.
type State struct {
	Desired
	// Fencing is the highest fencing number that the engine has seen, or the
	// latest one if it does not check them.
	Fencing uint64
	// Busy says that the engine is carrying out an order.
	Busy    bool
	Leaving bool
	// ChecksFencing says whether the engine refuses old fencing numbers.
	ChecksFencing bool
}
