package callerconn

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer without framing that looks complete although its connection was closed before its end, over
// a plain and an encrypted connection, and against a complete one whose end is lost.
func TestConnectionIsResetOnCloseOnlyWhileItIsToBe(t *testing.T) {
	for _, reset := range []bool{true, false} {
		tracked := New()
		caller, accepted := acceptOne(t, tracked)
		ctx := NewContext(t.Context(), accepted)
		assert.NilError(t, ResetOnClose(ctx, true))
		assert.NilError(t, ResetOnClose(ctx, reset))
		_, err := io.WriteString(accepted, "answer")
		assert.NilError(t, err)
		assert.NilError(t, accepted.Close())
		_, err = io.ReadAll(caller)
		assert.Equal(t, errors.Is(err, syscall.ECONNRESET), reset, "%v", err)
		assert.NilError(t, caller.Close())
	}
	tracked := New()
	caller, accepted := encrypt(t, tracked)
	assert.NilError(t, ResetOnClose(NewContext(t.Context(), accepted), true))
	assert.NilError(t, accepted.NetConn().Close())
	_, err := io.ReadAll(caller.NetConn())
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NilError(t, caller.NetConn().Close())
	assert.NilError(t, ResetOnClose(httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil).Context(), true), "no connection")
}
