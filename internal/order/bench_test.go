package order

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/lease"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// heldLease is a lease that never expires.
type heldLease struct{}

func (heldLease) Want([]string) {}

func (heldLease) Held(string) (lease.Grant, bool) {
	return lease.Grant{Until: time.Now().Add(time.Hour)}, true
}

func (heldLease) Raise(string) {}

func (heldLease) Exclude(string, []string) {}

func (heldLease) Excluded(string) bool { return false }

// fixedConfiguration is a configuration that never changes.
type fixedConfiguration struct{ snapshot *configuration.Snapshot }

func (c fixedConfiguration) Snapshot() *configuration.Snapshot { return c.snapshot }

// BenchmarkConvergedPass measures a pass over a pool whose engines are all in
// their desired state. The engines are reached over loopback.
func BenchmarkConvergedPass(b *testing.B) {
	for _, engineCount := range []int{5, 20} {
		b.Run(fmt.Sprint(engineCount, "-engines"), func(b *testing.B) { benchmarkPass(b, engineCount) })
	}
}

func benchmarkPass(b *testing.B, engineCount int) {
	bundle := testBundle()
	first := bundle.Fleet.Endpoints[2]
	bundle.Fleet.Endpoints = nil
	for i := range engineCount {
		server, err := standin.Start("127.0.0.1:0", standin.Options{Role: first.Role, Model: first.Model, Version: first.Version})
		assert.NilError(b, err)
		b.Cleanup(func() { _ = server.Close() })
		e := first
		e.Name = fmt.Sprint("decode-", i)
		e.Address = server.Addr()
		bundle.Fleet.Endpoints = append(bundle.Fleet.Endpoints, e)
	}
	snapshot, err := configuration.NewSnapshot(bundle)
	assert.NilError(b, err)
	connections := openai.NewUpstream()
	b.Cleanup(connections.Close)
	clients := make(map[string]*openai.Client)
	for _, e := range bundle.Fleet.Endpoints {
		clients[e.Name] = openai.New(e.Address, connections)
	}
	r := New(Options{
		Zone: "zone-a", Leases: heldLease{}, Configuration: fixedConfiguration{snapshot}, Events: timeline.Discard,
		Engines: func(name string) (Engine, bool) { return clients[name], true },
	})
	b.ReportAllocs()
	for b.Loop() {
		r.reconcile(b.Context())
		for _, p := range r.pools {
			assert.Equal(b, len(p.converged), engineCount)
			p.due = time.Time{}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*engineCount), "µs/engine")
}
