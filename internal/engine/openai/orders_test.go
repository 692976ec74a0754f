package openai

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

func TestOrdersAndState(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{ChecksFencing: true, Role: configuration.RolePrefill})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	client := newClient(t, server.Addr())

	state, err := client.State(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, state, engine.State{
		Desired:       engine.Desired{Role: configuration.RolePrefill, Model: "drafter", Version: "1", Adapters: []string{}},
		ChecksFencing: true,
	})
	order := engine.Order{Fencing: 7, ID: "zone-a/drafter/7/1", Desired: state.Desired}
	result, err := client.Order(t.Context(), order)
	assert.NilError(t, err)
	assert.Equal(t, result, engine.OrderInForce)

	order.Desired = engine.Desired{Role: configuration.RoleDecode, Model: "drafter", Version: "2", Adapters: []string{"brass"}}
	result, err = client.Order(t.Context(), order)
	assert.NilError(t, err)
	assert.Equal(t, result, engine.OrderAccepted)

	order.Fencing = 6
	_, err = client.Order(t.Context(), order)
	assert.Assert(t, errorx.IsOfType(err, engine.StaleFencing), "%v", err)
	assert.Assert(t, errorx.HasTrait(err, engine.NotRun))

	server.SetFaults(standin.Faults{Down: true})
	_, err = client.Order(t.Context(), order)
	assert.Assert(t, errorx.IsOfType(err, engine.Unavailable), "%v", err)
	assert.Assert(t, !errorx.HasTrait(err, engine.NotRun))
}
