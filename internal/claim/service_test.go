package claim

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
	"go.uber.org/fx"
	"gotest.tools/v3/assert"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// plainDialer reaches peers on loopback without authentication.
type plainDialer struct{ client *http.Client }

func (d plainDialer) HTTPClient() connect.HTTPClient { return d.client }

func (d plainDialer) BaseURL(address string) string { return "http://" + address }

// TestPeersOverHTTP runs claims and answers of two VMs over real connections.
func TestPeersOverHTTP(t *testing.T) {
	log := newFakeLog(1)
	dialer := plainDialer{client: &http.Client{Transport: &http.Transport{}}}
	defer dialer.client.CloseIdleConnections()
	listeners := make([]net.Listener, 2)
	view := membership.Static{All: make([]membership.Member, 2)}
	for n := range listeners {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[n] = listener
		view.All[n] = membership.Member{VM: "vm-" + strconv.Itoa(n), Zone: "a", Incarnation: 1, State: membership.Alive, Address: listener.Addr().String()}
	}
	settings := testSettings()
	settings.ClockSkew = 0
	claims := make([]*Claims, 2)
	answers := make([]*AnswerRegistry, 2)
	for n, listener := range listeners {
		view.This = view.All[n]
		peers := NewConnectPeers(dialer)
		var err error
		claims[n], err = New(Dependencies{Log: log, View: view, Peers: peers, Timeline: timeline.Discard}, settings)
		assert.NilError(t, err)
		defer claims[n].Stop()
		answers[n], err = NewAnswerRegistry(AnswerDependencies{View: view, Peers: peers, Zones: func() []string { return []string{"a"} }}, settings)
		assert.NilError(t, err)
		defer answers[n].Stop()
		server := &http.Server{Handler: peerMux(claims[n], answers[n]), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
	}
	for n := range 2 * Shards {
		key := newKey(n)
		mustClaim(t, &vm{claims: claims[n%2]}, key, Run)
		mustClaim(t, &vm{claims: claims[(n+1)%2]}, key, Running)
		ticket := beginAnswer(t, answers[n%2], n)
		assert.NilError(t, ticket.MayAnswer(t.Context()))
		ticket.Delivered()
	}
	assert.Assert(t, claims[0].counters.ownerCalls.Value() > 0)
	assert.Equal(t, claims[0].counters.ownerFailures.Value(), int64(0))
}

func peerMux(c *Claims, r *AnswerRegistry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(c.Peer().Path, c.Peer().Handler)
	mux.Handle(r.Peer().Path, r.Peer().Handler)
	return mux
}

// beginAnswer begins with fresh keys until the registry's slots are taken over.
func beginAnswer(t *testing.T, r *AnswerRegistry, n int) *AnswerTicket {
	t.Helper()
	for {
		decision, err := r.Begin(t.Context(), newKey(n))
		if err == nil && decision.Kind == Run {
			return decision.Ticket
		}
		assert.Assert(t, err == nil && decision.Kind == Unknown || errorx.IsOfType(err, OwnerUnavailable) || errorx.IsOfType(err, KeyFuture), "%v", err)
		background.Pause(t.Context(), time.Millisecond)
	}
}

// TestModuleIsComplete checks the wiring without starting it.
func TestModuleIsComplete(t *testing.T) {
	err := fx.ValidateApp(
		Module,
		fx.Supply(testSettings(), Zones(nil)),
		fx.Provide(
			func() logservice.Service { return nil },
			func() membership.View { return nil },
			func() peer.Dialer { return nil },
			func() timeline.Recorder { return nil },
		),
		fx.Invoke(fx.Annotate(func([]peer.Handler) {}, fx.ParamTags(`group:"peer"`))),
	)
	assert.NilError(t, err)
}

// TestServeRefusesOtherKeys checks that a bound key can never reach the log.
func TestServeRefusesOtherKeys(t *testing.T) {
	bubble(t, func(t *testing.T, _ *cluster, a, _, _ *vm) {
		text, err := a.claims.Issue()
		assert.NilError(t, err)
		record := claimRecord(Key{Team: "band", Key: text}, a.claims.newWriter())
		_, err = a.claims.Serve(context.Background(), &claimv1.SubmitRequest{Record: record})
		assert.Assert(t, errorx.IsOfType(err, KeyMalformed), "%v", err)
	})
}
