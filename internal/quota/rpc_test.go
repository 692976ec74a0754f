package quota

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	quotav1 "github.com/ospreyshed/ospreyshed/api/quota/v1"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

// A VM of the previous release has no handler and must count as one that does not answer; one of
// this release must answer claims and reject unusable ones with the path of the field.
func TestCallsPassOverTheTransport(t *testing.T) {
	members, all := fleetOf(map[string]int{"a": 1})
	log := decisionlog.Discard()
	defer log.Close()
	service := New(Params{
		VM: "a-0", Incarnation: 2, View: membership.Static{All: members}, Announced: func() Announced { return all },
		Quota: func(string) (team.Quota, uint64, bool) { return quota, 5, true }, Log: log, Clock: time.Now,
	})
	for _, handlers := range [][]peer.Handler{{service.Handler()}, nil} {
		options := peer.Options{Listen: "127.0.0.1:0"}
		server, err := peer.NewServer(options, handlers...)
		assert.NilError(t, err)
		assert.NilError(t, server.Start())
		dialer := peer.NewDialer(options)
		peers, to := NewPeers(dialer), membership.Member{VM: "a-0", Address: server.Addr().String()}
		response, err := peers.Take(t.Context(), to, &quotav1.TakeRequest{Vm: "b", Configuration: 6, Claims: []*quotav1.Claim{{Team: "t"}}})
		if handlers == nil {
			assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, response.GetIncarnation(), uint64(2))
			assert.Equal(t, response.GetConfiguration(), uint64(5))
			assert.Equal(t, service.counters.Behind.Load(), int64(1))
			_, err = peers.Take(t.Context(), to, &quotav1.TakeRequest{Vm: "b", Claims: []*quotav1.Claim{{Team: "t", Needed: 2, Wanted: 1}}})
			assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
			assert.ErrorContains(t, err, "claims[0].wanted: 1 is less than the needed 2")
		}
		dialer.Close()
		assert.NilError(t, server.Shutdown(context.Background()))
	}
}
