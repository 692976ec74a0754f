package relay

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/rawconn"
)

// endlessHead is the head of an answer whose body ends with its connection.
const endlessHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n\r\n"

// A faulty endpoint sent a body without end, or one event without end, until the caller closed; the VM kept it. Calls of
// each kind end by themselves.
func TestCallEndsByItselfIfItsAnswerDoesNot(t *testing.T) {
	for name, c := range map[string]struct{ kind, beginning, part, outcome string }{
		"plain":               {"plain", endlessHead, "x", lost},
		"prefill":             {"prefill", endlessHead, "x", "refused"},
		"event":               {"decode", endlessHead + "data: ", "x", lost},
		"event of many lines": {"decode", endlessHead + "id: 1\n", "data: x\n", lost},
		"no event":            {"decode", endlessHead, ": comment\n\n", lost},
		"second event":        {"decode", endlessHead + "id: 1\ndata: t\n\nid: 2\ndata: ", "x", "aborted"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			faulty, stop, err := rawconn.Serve(t.Context(), rawconn.Endless(idHeader, c.beginning, c.part, cancel))
			assert.NilError(t, err)
			t.Cleanup(stop)
			s := newFixture(t, grant("p1", "e1"), refuseNoEngine)
			s.add("d1", "desk", "", faulty)
			s.endpoint("p2", "pool", configuration.RolePrefill, answers(200, "h1"))
			s.add("p1", "pool", configuration.RolePrefill, faulty)
			s.add("e1", "pool", configuration.RoleDecode, faulty)
			route, generation := booking, (*Generation)(nil)
			if c.kind != "plain" {
				route, generation = dossier, work
			}
			if c.kind == "decode" {
				s.reserver.answers[0] = grant("p2", "e1")
			}
			caller := &recorder{}
			s.serveTo(ctx, caller, route, generation)
			assert.NilError(t, ctx.Err(), "the exchange went on")
			assert.Assert(t, strings.HasPrefix(caller.outcome, c.outcome), caller.outcome)
		})
	}
}

// The call that frees a KV cache needs nothing of the body of its answer.
func TestFreeReadsNoBody(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	faulty, stop, err := rawconn.Serve(t.Context(), rawconn.Endless(idHeader, endlessHead, "x", cancel))
	assert.NilError(t, err)
	s := newFixture(t)
	s.relay.free(&Source{Endpoint: "p1", Address: faulty, Handle: "h1"})
	stop()
	assert.NilError(t, ctx.Err(), "the body was read")
}
