package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// serve serves handlers for peers on loopback and returns calls to them.
func serve(t *testing.T, handlers ...peer.Handler) (Peers, membership.Member) {
	t.Helper()
	options := peer.Options{Listen: "127.0.0.1:0"}
	server, err := peer.NewServer(options, handlers...)
	assert.NilError(t, err)
	assert.NilError(t, server.Start())
	dialer := peer.NewDialer(options)
	t.Cleanup(func() {
		dialer.Close()
		assert.NilError(t, server.Shutdown(context.Background()))
	})
	return NewPeers(dialer), membership.Member{VM: "vm-b", Address: server.Addr().String()}
}

func newService(t *testing.T) *Service {
	t.Helper()
	self := membership.Member{VM: "vm-b", Zone: "b", State: membership.Alive}
	log := decisionlog.Discard()
	t.Cleanup(log.Close)
	return New(Params{View: membership.Static{This: self, All: []membership.Member{self}}, Log: log, Clock: time.Now})
}

func TestRecordsPassOverTheTransport(t *testing.T) {
	service := newService(t)
	peers, to := serve(t, service.Handler())
	sent := Copy{Origin: Origin{Stream: "c7e7b902b17b3151", Service: "writer", Build: "v1.2", Revision: 3}, Age: 2 * time.Second}
	assert.NilError(t, peers.Replicate(t.Context(), to, []Copy{sent}))
	got, known, err := peers.Lookup(t.Context(), to, sent.Stream)
	assert.NilError(t, err)
	assert.Assert(t, known)
	assert.Equal(t, got.Origin, sent.Origin)
	assert.Assert(t, got.Age >= sent.Age)
	_, known, err = peers.Lookup(t.Context(), to, "c7e7b902b17b3152")
	assert.NilError(t, err)
	assert.Assert(t, !known)
}

// A call must not take more records than a VM sends at a time.
func TestCallsWithTooManyRecordsAreRejected(t *testing.T) {
	service := newService(t)
	peers, to := serve(t, service.Handler())
	records := make([]Copy, maxBatch+1)
	for i := range records {
		records[i] = Copy{Origin: Origin{Stream: fmt.Sprint(i), Revision: 1}}
	}
	err := peers.Replicate(t.Context(), to, records)
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.Equal(t, service.Size(), 0)
	assert.NilError(t, peers.Replicate(t.Context(), to, records[:maxBatch]))
	assert.Equal(t, service.Size(), maxBatch)
}

// During an upgrade some VMs do not serve the call. They have no records, so that a
// search that only they keep from an answer is not Incomplete.
func TestVMsOfAnEarlierVersionHaveNoRecord(t *testing.T) {
	peers, to := serve(t)
	_, known, err := peers.Lookup(t.Context(), to, "s")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	assert.Assert(t, peers.Replicate(t.Context(), to, []Copy{{Origin: Origin{Stream: "s", Revision: 1}}}) != nil)
}
