package standin

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testBundle() *configuration.Bundle {
	return &configuration.Bundle{Fleet: configuration.Fleet{
		VMs: []configuration.VM{{Name: "entry-1", Zone: "zone-a", Address: "127.0.0.1:7001"}},
		Endpoints: []configuration.Endpoint{
			{Name: "prefill-1", Zone: "zone-a", Kind: configuration.KindEngine, Model: "drafter", Role: configuration.RolePrefill},
			{Name: "decode-1", Zone: "zone-a", Address: ":0", Kind: configuration.KindEngine, Model: "drafter", Role: configuration.RoleDecode, Slots: 7},
			{Name: "desk-1", Zone: "zone-b", Kind: configuration.KindPlain, Service: "desk"},
		},
	}}
}

func TestBundleGetsTheAddressesOfItsEndpoints(t *testing.T) {
	bundle := testBundle()
	p, err := StartBundle(bundle, func(o *Options) { o.VMList.Lag = configuration.Duration(time.Hour) })
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	endpoints := bundle.Fleet.Endpoints
	assert.Equal(t, endpoints[0].Address, p.Engines["prefill-1"].Addr())
	assert.Equal(t, endpoints[1].Address, p.Engines["decode-1"].Addr())
	assert.Equal(t, endpoints[2].Address, p.Plain["desk-1"].Addr())
	list, err := p.VMList.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list.VMs), 4)
	assert.Equal(t, p.Engines["decode-1"].Load().Slots, 7)
}
