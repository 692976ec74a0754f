package callerconn

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A VM that was held up between the read of a connection's first request over TLS and its
// record, for longer than new connections have for it, closed the connection.
func TestFirstEncryptedRequestThatWasReadIsInUse(t *testing.T) {
	tracked := New()
	caller, accepted := encrypt(t, tracked)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	read := make([]byte, 64)
	_, err = accepted.Read(read)
	assert.NilError(t, err)
	assert.Equal(t, tracked.closeUnused(time.Now().Add(2*newConnectionTimeout)), 1)
	_ = errors.Join(caller.Close(), accepted.Close())
}
