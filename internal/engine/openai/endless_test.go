package openai

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// A faulty engine sent a body without end until the caller closed, and the VM kept it. Calls of each kind end by
// themselves.
func TestEachCallEndsByItselfIfItsAnswerDoesNot(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": ID\r\n\r\n"
	for i, call := range engineCalls(1) {
		t.Run(call.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			handle := rawconn.Endless(requestIDHeader, head+`{"a":"`, "x", cancel)
			connections := NewUpstream()
			defer connections.Close()
			client := New(serveRaw(t, handle), connections)
			err := engineCalls(uint32(i + 1))[i].do(ctx, client)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the exchange went on: %v", err)
		})
	}
}
