package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/origin"
)

// busyServer is a server whose connections stay busy.
type busyServer struct{}

func (busyServer) Shutdown(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// The listener for peers has to stop within stopMargin, because requests in flight
// may use up the rest of the grace period.
func TestPeersDoNotHoldUpTheStop(t *testing.T) {
	log := decisionlog.Discard()
	defer log.Close()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.NilError(t, shutdownPeerServer(t.Context(), busyServer{}, log))
		assert.Assert(t, time.Since(began) < stopMargin)
	})
}

// Requests in flight may use up the grace period but for stopMargin, which has to hold
// all that follows.
func TestTheEndOfAStopFitsInItsMargin(t *testing.T) {
	assert.Assert(t, origin.HandOverTime+peerShutdownTimeout < stopMargin)
}
