package swim

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	membershipv1 "github.com/ospreyshed/ospreyshed/api/membership/v1"
	"github.com/ospreyshed/ospreyshed/api/membership/v1/membershipv1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/peer/peertest"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// process runs the membership part of an entry VM's process.
type process struct {
	*Service
	server *peer.Server
	dialer *peer.HTTPDialer
	events *timeline.Ring

	mu   sync.Mutex
	gone []membership.Member
	stop func()
}

// startProcess starts a process on loopback, without certificates if the authority
// is nil.
func startProcess(t testing.TB, authority *peertest.Authority, vm, zone string, seeds ...string) *process {
	t.Helper()
	options := peer.Options{Listen: "127.0.0.1:0", Certificates: certificatesOf(t, authority, vm)}
	p := &process{dialer: peer.NewDialer(options), events: timeline.NewRing(vm, 1, 64)}
	handler := &deferredHandler{}
	var err error
	p.server, err = peer.NewServer(options, peer.Handler{Path: "/", Handler: handler})
	assert.NilError(t, err)
	assert.NilError(t, p.server.Start())
	p.Service = New(Params{
		VM: vm, Zone: zone, Address: p.server.Addr().String(), Incarnation: uint64(time.Now().UnixNano()),
		Seeds: seeds, Dialer: p.dialer, Events: p.events, Random: rand.New(rand.NewPCG(1, uint64(len(vm)))),
	})
	handler.set(p.Peer().Handler)
	p.OnGone(func(m membership.Member) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.gone = append(p.gone, m)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	p.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		_ = p.server.Shutdown(ctx)
		p.dialer.Close()
	})
	t.Cleanup(p.stop)
	return p
}

func certificatesOf(t testing.TB, authority *peertest.Authority, vm string) *peer.Certificates {
	t.Helper()
	if authority == nil {
		return nil
	}
	log, _ := logtest.NewNullLogger()
	certificates, err := peer.LoadCertificates(vm, authority.Files(t, vm), log)
	assert.NilError(t, err)
	return certificates
}

// deferredHandler delegates to a handler that is created after its server.
type deferredHandler struct {
	mu      sync.Mutex
	handler http.Handler
}

func (l *deferredHandler) set(h http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handler = h
}

// ServeHTTP implements http.Handler.
func (l *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	h := l.handler
	l.mu.Unlock()
	if h == nil {
		http.Error(w, "not yet", http.StatusServiceUnavailable)
		return
	}
	h.ServeHTTP(w, r)
}

func (p *process) address() string { return p.server.Addr().String() }

func (p *process) goneMembers() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]membership.Member(nil), p.gone...)
}

// states returns "<vm>:<state>" of all members in the view of a process.
func (p *process) states() string {
	var states []string
	for _, m := range p.Members() {
		states = append(states, m.VM+":"+string(m.State))
	}
	return strings.Join(states, " ")
}

func waitFor(t testing.TB, p *process, want string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := p.states(); got != want {
			return poll.Continue("%s sees %s, not %s", p.Self().VM, got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// awaitGone waits until subscribers were called for a member that is gone. Run calls
// them after the view has changed.
func awaitGone(t testing.TB, p *process) []membership.Member {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(p.goneMembers()) == 0 {
			return poll.Continue("no gone member was reported to %s", p.Self().VM)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
	return p.goneMembers()
}

func eachTransport(t *testing.T, test func(t *testing.T, authority *peertest.Authority)) {
	t.Run("without certificates", func(t *testing.T) {
		t.Parallel()
		test(t, nil)
	})
	t.Run("mutual TLS", func(t *testing.T) {
		t.Parallel()
		test(t, peertest.NewAuthority(t))
	})
}

func TestProcessesDiscoverEachOtherAndDetectAFailure(t *testing.T) {
	eachTransport(t, func(t *testing.T, authority *peertest.Authority) {
		a1 := startProcess(t, authority, "vm-a1", "zone-a")
		a2 := startProcess(t, authority, "vm-a2", "zone-a", a1.address())
		b1 := startProcess(t, authority, "vm-b1", "zone-b", a1.address())
		for _, p := range []*process{a1, a2, b1} {
			waitFor(t, p, "vm-a1:alive vm-a2:alive vm-b1:alive")
		}
		stopped := a2.Self()
		a2.stop()
		waitFor(t, a1, "vm-a1:alive vm-b1:alive")
		waitFor(t, b1, "vm-a1:alive vm-b1:alive")
		for _, p := range []*process{a1, b1} {
			gone := awaitGone(t, p)
			assert.Equal(t, len(gone), 1)
			assert.Equal(t, gone[0].VM, "vm-a2")
			assert.Equal(t, gone[0].Incarnation, stopped.Incarnation)
		}
		kinds := make(map[timeline.Kind]int)
		for _, e := range a1.events.Since(timeline.Query{}).Events {
			kinds[e.Kind]++
		}
		assert.DeepEqual(t, kinds, map[timeline.Kind]int{
			timeline.MemberAlive: 2, timeline.MemberSuspect: 1, timeline.MemberGone: 1,
		})
	})
}

func TestDrainingAndLeavingAreAnnounced(t *testing.T) {
	eachTransport(t, func(t *testing.T, authority *peertest.Authority) {
		a1 := startProcess(t, authority, "vm-a1", "zone-a")
		a2 := startProcess(t, authority, "vm-a2", "zone-a", a1.address())
		waitFor(t, a1, "vm-a1:alive vm-a2:alive")
		a2.SetDraining()
		assert.Assert(t, a2.Self().Draining)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if members := a1.Members(); len(members) == 2 && members[1].Draining {
				return poll.Success()
			}
			return poll.Continue("not draining")
		})
		a2.Leave(t.Context())
		assert.Equal(t, a1.states(), "vm-a1:alive", "announced before Leave returns")
	})
}

func TestInvalidMessagesAreDropped(t *testing.T) {
	t.Parallel()
	authority := peertest.NewAuthority(t)
	a1 := startProcess(t, authority, "vm-a1", "zone-a")
	otherVM := peer.NewDialer(peer.Options{Certificates: certificatesOf(t, authority, "vm-a3")})
	defer otherVM.Close()
	client := membershipv1connect.NewMembershipServiceClient(otherVM.HTTPClient(), otherVM.BaseURL(a1.address()))
	ping := func(vm string, sequence uint64, updates int) error {
		envelope := &membershipv1.Envelope{Sequence: sequence, From: &membershipv1.Member{
			Vm: vm, Zone: "zone-a", Address: "127.0.0.1:1", Incarnation: 7, State: membershipv1.State_STATE_ALIVE,
		}}
		for range updates {
			envelope.Updates = append(envelope.Updates, envelope.From)
		}
		_, err := client.Ping(t.Context(), connect.NewRequest(&membershipv1.PingRequest{Envelope: envelope}))
		return err
	}
	assert.NilError(t, ping("vm-a3", 1, 0))
	assert.Equal(t, connect.CodeOf(ping("vm-a3", 1, 0)), connect.CodeFailedPrecondition)
	assert.Equal(t, a1.counters.Replayed.Load(), int64(1))
	assert.Equal(t, connect.CodeOf(ping("vm-a2", 2, 0)), connect.CodePermissionDenied)
	assert.Equal(t, a1.counters.Forged.Load(), int64(1))
	assert.Equal(t, connect.CodeOf(ping("vm-a3", 3, maxUpdates+1)), connect.CodeResourceExhausted)
	assert.Equal(t, a1.counters.Oversized.Load(), int64(1))
	assert.Assert(t, ping("vm-a3", 4, maxMessageBytes) != nil)
	assert.Equal(t, a1.counters.Oversized.Load(), int64(2))
}

// TestForgedResponsesAreDropped lets a VM respond in the name of another one.
func TestForgedResponsesAreDropped(t *testing.T) {
	t.Parallel()
	authority := peertest.NewAuthority(t)
	impostor := startProcess(t, authority, "vm-a9", "zone-a")
	impostor.machine.self.VM = "vm-a2"
	a1 := startProcess(t, authority, "vm-a1", "zone-a", impostor.address())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a1.counters.Forged.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("no response dropped")
	})
	assert.Equal(t, a1.states(), "vm-a1:alive")
}
