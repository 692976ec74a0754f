package callerconn

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// An HTTP/2 connection whose preface arrived in pieces counted as one of HTTP/1 that
// carries a request, and a drain waited for it until its limit.
func TestPrefaceInPiecesBeginsAnHTTP2Connection(t *testing.T) {
	tracked := New()
	caller, accepted := acceptOne(t, tracked)
	read := make([]byte, len(http2Preface))
	for rest := http2Preface; rest != ""; {
		piece := rest[:min(len(rest), 5)]
		_, err := io.WriteString(caller, piece)
		assert.NilError(t, err)
		_, err = io.ReadFull(accepted, read[:len(piece)])
		assert.NilError(t, err)
		rest = rest[len(piece):]
	}
	assert.Equal(t, tracked.closeUnused(time.Now().Add(newConnectionTimeout)), 0)
	assert.NilError(t, errors.Join(caller.Close(), accepted.Close()))
}

// An HTTP/2 connection whose preface had arrived and was not read when a drain looked at it
// counted as one of HTTP/1 that carries a request.
func TestUnreadPrefaceBeginsAnHTTP2Connection(t *testing.T) {
	tracked := New()
	caller, accepted := acceptOne(t, tracked)
	_, err := io.WriteString(caller, http2Preface)
	assert.NilError(t, err)
	for !upstream.Readable(accepted.(*conn).Conn) {
		time.Sleep(time.Millisecond)
	}
	later := time.Now().Add(newConnectionTimeout)
	assert.Equal(t, tracked.closeUnused(later), 1, "the server has not read it yet")
	_, err = io.ReadFull(accepted, make([]byte, len(http2Preface)))
	assert.NilError(t, err)
	assert.Equal(t, tracked.closeUnused(later), 0)
	assert.NilError(t, errors.Join(caller.Close(), accepted.Close()))
}
