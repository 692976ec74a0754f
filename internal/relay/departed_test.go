package relay

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// departingEndpoints lets the first endpoint that is picked leave the fleet at once.
type departingEndpoints struct {
	Endpoints
	depart func(name string)
	left   bool
}

func (e *departingEndpoints) Begin(name string) func() {
	if !e.left {
		e.left = true
		e.depart(name)
	}
	return e.Endpoints.Begin(name)
}

// depart removes an endpoint from the fleet.
func (s *fixture) depart(name string) {
	s.fleet.SetInstances(slices.DeleteFunc(slices.Clone(s.instances), func(i fleet.Instance) bool { return i.Name == name }))
}

// An endpoint that left between its choice and the call was counted as one call less than
// none: the next attempt, the first to be sent, took a retry, and the request was refused if
// none was left.
func TestEndpointThatLeavesBeforeTheCallCostsNoRetry(t *testing.T) {
	s := newFixture(t)
	s.relay.options.Budget = &budget{left: 0}
	s.relay.options.Endpoints = &departingEndpoints{Endpoints: s.endpoints, depart: s.depart}
	s.endpoint("d1", "desk", "", events(1))
	s.endpoint("d2", "desk", "", events(1))
	assert.Equal(t, s.serve(check, nil).body, eventText(1))
	assert.Equal(t, s.callCount(), 1)
}

// With a call less than none, a request was sent more often than its route allows.
func TestEngineThatLeavesBeforeTheCallAllowsNoFurtherAttempt(t *testing.T) {
	s := newFixture(t, func(d scheduling.Demand) (scheduling.Grant, error) {
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			if !slices.Contains(d.Exclude, name) {
				return grant(name, name)(d)
			}
		}
		return refuseTarget(d)
	})
	s.relay.options.Endpoints = &departingEndpoints{Endpoints: s.endpoints, depart: s.depart}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		s.endpoint(name, "pool", configuration.RoleDecode, reset)
	}
	twice := check
	twice.MaxAttempts = 2
	s.serve(twice, work)
	assert.Equal(t, s.callCount(), twice.MaxAttempts, s.callLog())
}
