package orphan

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// enginePair is a prefill and a decode engine that do not notice closed
// connections.
type enginePair struct {
	prefill, decode *standin.Server
	connections     *upstream.Client
}

func startEngines(t *testing.T) *enginePair {
	t.Helper()
	p := &enginePair{connections: openai.NewUpstream()}
	p.prefill = startEngine(t, configuration.RolePrefill)
	p.decode = startEngine(t, configuration.RoleDecode)
	t.Cleanup(p.connections.Close)
	return p
}

func startEngine(t *testing.T, role configuration.Role) *standin.Server {
	t.Helper()
	server, err := standin.Start("127.0.0.1:0", standin.Options{
		Name: string(role), Role: role, MemoryPieces: 1000, PrefillTokensPerSecond: 1e6,
		TokenInterval: configuration.Duration(time.Second), KVBytesPerToken: 1,
		KVRetention: configuration.Duration(time.Hour), OutputTokens: standin.Range{Min: 4000, Max: 4000},
	})
	assert.NilError(t, err)
	server.SetFaults(standin.Faults{IgnoreClose: true})
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return server
}

// Engine implements Clients.
func (p *enginePair) Engine(name string) (engine.Client, bool) {
	address := p.decode.Addr()
	if name == string(configuration.RolePrefill) {
		address = p.prefill.Addr()
	}
	return openai.New(address, p.connections), true
}

// engines returns the engines of the configuration.
func (p *enginePair) engines() []*configuration.Endpoint {
	return []*configuration.Endpoint{
		{Name: string(configuration.RolePrefill), Zone: "zone-a", Kind: configuration.KindEngine},
		{Name: string(configuration.RoleDecode), Zone: "zone-a", Kind: configuration.KindEngine},
	}
}

// startWork starts one decode, and one more prefill whose decode does not
// follow.
func (p *enginePair) startWork(ctx context.Context, t *testing.T, vm string, incarnation uint64) engine.Stream {
	t.Helper()
	prefill, _ := p.Engine(string(configuration.RolePrefill))
	decode, _ := p.Engine(string(configuration.RoleDecode))
	var kv []byte
	for request := range uint64(2) {
		id := engine.AttemptID{VM: vm, Incarnation: incarnation, Request: request, Attempt: 1}
		done, err := prefill.Prefill(ctx, engine.Call{Attempt: id, Model: "drafter", Prompt: &engine.Prompt{Text: vm + id.String()}})
		assert.NilError(t, err)
		if request == 0 {
			kv = done.KV
		}
	}
	id := engine.AttemptID{VM: vm, Incarnation: incarnation, Request: 0, Attempt: 1}
	stream, err := decode.Decode(ctx, engine.DecodeCall{
		Call: engine.Call{Attempt: id, Model: "drafter", Prompt: &engine.Prompt{Text: vm + id.String()}},
		KV:   kv, MaxTokens: 4000,
	})
	assert.NilError(t, err)
	return stream
}

// held returns the number of memory pieces that each engine holds.
func (p *enginePair) held() (prefill, decode int) {
	return p.prefill.Counts().PiecesHeld, p.decode.Counts().PiecesHeld
}

// TestMemoryOfADeadVMIsFreed has two VMs work on engines that ignore closed
// connections. One of the VMs is reported as gone: its memory is freed, and
// that of the other VM is kept.
func TestMemoryOfADeadVMIsFreed(t *testing.T) {
	p := startEngines(t)
	survivingStream := p.startWork(t.Context(), t, "vm-a1", 1)
	prefillOfOne, decodeOfOne := p.held()
	assert.Assert(t, prefillOfOne > 0 && decodeOfOne > 0)
	ctx, abort := context.WithCancel(t.Context())
	lostStream := p.startWork(ctx, t, goneMember.VM, goneMember.Incarnation)
	abort()
	_ = lostStream.Close()
	prefill, decode := p.held()
	assert.Assert(t, prefill > prefillOfOne && decode > decodeOfOne, "memory is still held")

	self := aliveMember("vm-a1", "zone-a")
	view := membership.Static{This: self, All: []membership.Member{self}}
	service := New(Params{View: view, Clients: p, Events: timeline.Discard})
	service.engines = p.engines
	running, stop := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { service.Run(running) })
	defer wait.Wait()
	defer stop()
	service.MemberGone(goneMember)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		prefill, decode := p.held()
		if prefill == prefillOfOne && decode == decodeOfOne {
			return poll.Success()
		}
		return poll.Continue("%d and %d pieces are held", prefill, decode)
	}, poll.WithTimeout(10*time.Second))
	_, err := survivingStream.Next()
	assert.NilError(t, err)
	assert.NilError(t, survivingStream.Close())
}
