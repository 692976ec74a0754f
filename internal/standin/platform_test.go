package standin

import (
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/loopback"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
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

func TestStartBundleSetsEndpointAddresses(t *testing.T) {
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

func TestStartStopsEverythingWhenAPortIsTaken(t *testing.T) {
	first, err := Start(Options{})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, first.Close()) }()
	options := Options{Plain: []PlainOptions{{Address: first.Log.Addr()}}}
	_, err = Start(options)
	assert.ErrorContains(t, err, "address already in use")
}

// The endpoints listen on an IP number of this process, as another one could take their ports while they are stopped.
func TestEndpointRestartsOnTheSameAddress(t *testing.T) {
	bundle := testBundle()
	anyAddress := net.JoinHostPort(loopback.ProcessIP(), "0")
	p, err := StartBundle(bundle, func(o *Options) {
		for i := range o.Engines {
			o.Engines[i].Address = anyAddress
		}
		for i := range o.Plain {
			o.Plain[i].Address = anyAddress
		}
	})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	assert.NilError(t, p.Stop("decode-1"))
	assert.NilError(t, p.Stop("desk-1"))
	_, err = new(net.Dialer).DialContext(t.Context(), "tcp", bundle.Fleet.Endpoints[1].Address)
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, p.Restart("decode-1"))
	assert.NilError(t, p.Restart("desk-1"))
	assert.Equal(t, p.Addr("decode-1"), bundle.Fleet.Endpoints[1].Address)
	assert.Equal(t, p.Addr("desk-1"), bundle.Fleet.Endpoints[2].Address)
	assert.Equal(t, p.Engines["decode-1"].Load().Slots, 7)
}

func TestLeavingEndpointIsListedAsLeaving(t *testing.T) {
	p, err := StartBundle(testBundle(), func(o *Options) { o.VMList.Lag = 0 })
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	p.Leave("decode-1")
	p.Leave("desk-1")
	assert.Assert(t, p.Engines["decode-1"].Faults().Leaving)
	assert.Assert(t, p.Plain["desk-1"].Faults().Leaving)
	list, err := p.VMList.List(t.Context())
	assert.NilError(t, err)
	leaving := 0
	for _, vm := range list.VMs {
		if vm.State == vmlist.Leaving {
			leaving++
		}
	}
	assert.Equal(t, leaving, 2)
}
