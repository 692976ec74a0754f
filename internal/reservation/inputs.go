package reservation

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Fleet is what the service needs of the configuration in force.
type Fleet interface {
	// Engines returns the engines of a model and role in a zone.
	Engines(model string, role configuration.Role, zone string) []*configuration.Endpoint
	// Model returns a model's figures.
	Model(name string) (*configuration.Model, bool)
	// Models returns the names of all models.
	Models() []string
	// EntryVMs returns the names of the entry VMs of a zone.
	EntryVMs(zone string) []string
	// Link returns the link between two zones in either direction.
	Link(from, to string) (*configuration.Link, bool)
}

// Condition is what is known of an endpoint beside its configuration.
type Condition struct {
	// Leaving says that the VM list or the endpoint itself says so.
	Leaving bool
	// Ejected says that outlier detection excludes the endpoint.
	Ejected bool
	// SlotLimit bounds the slots while the endpoint is let back gradually; 0
	// means no bound.
	SlotLimit int
}

// Conditions returns the condition of an endpoint.
type Conditions func(endpoint string) Condition

// engineStates returns the states of a model's engines in a zone.
func engineStates(fleet Fleet, conditions Conditions, model, zone string) []scheduling.EngineState {
	var states []scheduling.EngineState
	for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
		for _, e := range fleet.Engines(model, role, zone) {
			state := scheduling.EngineStateOf(e)
			state.Role = role
			if conditions != nil {
				apply(&state, conditions(e.Name))
			}
			states = append(states, state)
		}
	}
	return states
}

func apply(state *scheduling.EngineState, condition Condition) {
	state.Leaving = condition.Leaving
	state.Ejected = condition.Ejected
	state.SlotLimit = condition.SlotLimit
}

// heartbeatPeriod is the period of heartbeats to owners and at which members
// and engine states are read again. Four fit in a grant's lease, so that a grant
// outlives two lost heartbeats.
const heartbeatPeriod = 250 * time.Millisecond
