package reservation

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Fleet is the part of the configuration in force that the service uses.
type Fleet interface {
	// Known reports whether the models and their engines are known. It stays true once it
	// is. Before that, the other methods may lack models and engines that exist.
	Known() bool
	// Engines returns the engines of a model and role in a zone.
	Engines(model string, role configuration.Role, zone string) []*configuration.Endpoint
	// Model returns the configuration of a model.
	Model(name string) (*configuration.Model, bool)
	// Models returns the names of all models.
	Models() []string
	// EntryVMs returns the names of the entry VMs of a zone.
	EntryVMs(zone string) []string
	// Link returns the link between two zones in either direction.
	Link(from, to string) (*configuration.Link, bool)
}

// Condition is the runtime state of an endpoint, which its configuration does
// not show.
type Condition struct {
	// Leaving reports that the endpoint is about to leave, according to the VM
	// list or to itself.
	Leaving bool
	// Ejected reports that outlier ejection excludes the endpoint.
	Ejected bool
	// SlotLimit limits the slots while an ejected endpoint is gradually
	// restored; 0 means no limit.
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

// heartbeatPeriod is the interval of heartbeats to owners, and the interval at
// which members and engine states are read again. Four heartbeats fit in the
// lease of a grant, so that a grant survives two lost ones.
const heartbeatPeriod = 250 * time.Millisecond
