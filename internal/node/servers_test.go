package node

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/callerconn"
)

// A stop that finds nothing to wait for closed the listener a second time while its server
// had not noticed the first, and reported that as a failure of the stop.
func TestDrainWithoutRequestsIsNoFailure(t *testing.T) {
	for range 300 {
		options := testOptions(t)
		s := &callerServer{
			options: &options, connections: callerconn.New(),
			server: newServer(http.NotFoundHandler()),
		}
		assert.NilError(t, s.open(t.Context()))
		assert.NilError(t, s.drain(context.Background()))
	}
}
