package localsite

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

func TestRepeatOfBookingWithCutReplyIsRefusedAsRan(t *testing.T) {
	site := startQuickstart(t)
	setPlainFaults(site, plain.Faults{CutReplies: true})
	clients := clientsOf(t, site)
	booking := bookingOf(newKey(t))
	first := do(t, clients[0], booking)
	assert.Equal(t, first.Problem, "/problems/endpoint-failed")
	assert.Equal(t, first.Outcome, "ran")
	for _, client := range clients {
		repeat := awaitProblem(t, client, booking, "/problems/key-answered")
		assert.Equal(t, repeat.Outcome, "ran")
	}
	assert.Equal(t, site.Platform.Executions(booking.Key), 1)
}
