package localsite

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startQuickstart starts the quickstart deployment.
func startQuickstart(t *testing.T) *Site {
	t.Helper()
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	site, err := Start(t.Context(), Options{Bundle: bundle})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, site.Close(context.Background())) })
	return site
}

func clientOf(t *testing.T, address string) *caller.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return caller.New(address, examples.QuickstartKey, &http.Client{Transport: transport})
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

func TestEveryClassIsAnsweredByEveryVM(t *testing.T) {
	site := startQuickstart(t)
	outputs := engine.DefaultOptions().OutputTokens
	for i, address := range site.CallerAddrs() {
		client := clientOf(t, address)
		prompt := fmt.Sprintf("Summarise dossier %d", i)
		summary, err := client.Do(t.Context(), caller.Request{
			Method: http.MethodPost, Path: "/v1/completions", Stream: true,
			Body: fmt.Appendf(nil, `{"model":"drafter","prompt":%q,"stream":true}`, prompt),
		})
		assert.NilError(t, err)
		assert.Assert(t, summary.OK(), "%+v", summary)
		assert.Equal(t, summary.Text, engine.NewAnswer(prompt, outputs, 200).Text())

		chat, err := client.Do(t.Context(), caller.Request{
			Method: http.MethodPost, Path: "/v1/chat/completions", Key: newKey(t),
			Body: []byte(`{"model":"drafter","messages":[{"role":"user","content":"why?"}]}`),
		})
		assert.NilError(t, err)
		assert.Assert(t, chat.OK(), "%s %s", chat.Problem, chat.Body)
		assert.Equal(t, chat.Text, engine.NewAnswer("user\nwhy?\n", outputs, 200).Text())

		lookup, err := client.Do(t.Context(), caller.Request{Method: http.MethodGet, Path: "/rosters/7"})
		assert.NilError(t, err)
		assert.Assert(t, lookup.OK(), "%s", lookup.Body)

		key := newKey(t)
		booking := caller.Request{Method: http.MethodPost, Path: "/bookings", Key: key, Body: []byte(`{}`)}
		booked, err := client.Do(t.Context(), booking)
		assert.NilError(t, err)
		assert.Assert(t, booked.OK(), "%s", booked.Body)
		assert.Equal(t, site.Platform.Executions(key), 1)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			again, err := client.Do(t.Context(), booking)
			assert.NilError(t, err)
			assert.Assert(t, !again.OK())
			if again.Problem == "/problems/key-running" {
				return poll.Continue("the outcome is not recorded yet")
			}
			assert.Equal(t, again.Problem, "/problems/key-answered")
			return poll.Success()
		}, poll.WithTimeout(time.Minute))
		assert.Equal(t, site.Platform.Executions(key), 1)
	}
}
