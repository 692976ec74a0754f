package localsite

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

func TestMain(m *testing.M) {
	if encoded := os.Getenv(nodeSettingsVariable); encoded != "" {
		if err := runNode(encoded); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

// pollTimeout limits the wait for an expected condition.
const pollTimeout = time.Minute

var outputTokens = engine.Range{Min: 20, Max: 40}

const maxOutputTokens = 200

// endlessSlowdown is a factor that slows engines so much that only a cancel ends an
// attempt within the duration of a test.
const endlessSlowdown = 1e6

// startQuickstart starts the quickstart deployment with fast engines.
func startQuickstart(t *testing.T) *Site {
	t.Helper()
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	site, err := Start(t.Context(), Options{Bundle: bundle, Tune: func(options *standin.Options) {
		for i := range options.Engines {
			options.Engines[i].TokenInterval = configuration.Duration(2 * time.Millisecond)
			options.Engines[i].OutputTokens = outputTokens
		}
		options.VMList.Lag = configuration.Duration(100 * time.Millisecond)
	}})
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

// clientsOf returns a client for every entry VM.
func clientsOf(t *testing.T, site *Site) []*caller.Client {
	t.Helper()
	var clients []*caller.Client
	for _, address := range site.CallerAddrs() {
		clients = append(clients, clientOf(t, address))
	}
	return clients
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

func summaryOf(prompt string) caller.Request {
	return caller.Request{
		Method: http.MethodPost, Path: "/v1/completions", Stream: true,
		Body: fmt.Appendf(nil, `{"model":"drafter","prompt":%q,"stream":true}`, prompt),
	}
}

func bookingOf(key string) caller.Request {
	return caller.Request{Method: http.MethodPost, Path: "/bookings", Key: key, Body: []byte(`{}`)}
}

func lookup() caller.Request {
	return caller.Request{Method: http.MethodGet, Path: "/rosters/7"}
}

func answerTo(prompt string) string {
	return engine.NewAnswer(prompt, outputTokens, maxOutputTokens).Text()
}

// do sends a request and fails the test if it gets no answer or refusal.
func do(t *testing.T, client *caller.Client, request caller.Request) caller.Answer {
	t.Helper()
	answer, err := client.Do(t.Context(), request)
	assert.NilError(t, err)
	return answer
}

// awaitProblem sends a request repeatedly until it is refused with a type of
// problem. The test fails if the request is answered.
func awaitProblem(t *testing.T, client *caller.Client, request caller.Request, want string) caller.Answer {
	t.Helper()
	var last caller.Answer
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		last = do(t, client, request)
		if last.OK() {
			return poll.Error(fmt.Errorf("a repeat was answered: %s", last.Body))
		}
		if last.Problem != want {
			return poll.Continue("refused with %s", last.Problem)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	return last
}

func TestEveryClassIsAnsweredByEveryVM(t *testing.T) {
	site := startQuickstart(t)
	for i, client := range clientsOf(t, site) {
		prompt := fmt.Sprintf("Summarise dossier %d", i)
		summary := do(t, client, summaryOf(prompt))
		assert.Assert(t, summary.OK(), "%+v", summary)
		assert.Equal(t, summary.Text, answerTo(prompt))

		chat := do(t, client, caller.Request{
			Method: http.MethodPost, Path: "/v1/chat/completions",
			Body: []byte(`{"model":"drafter","messages":[{"role":"user","content":"why?"}]}`),
		})
		assert.Assert(t, chat.OK(), "%s", chat.Body)
		assert.Equal(t, chat.Text, answerTo("user\nwhy?\n"))

		roster := do(t, client, lookup())
		assert.Assert(t, roster.OK(), "%s", roster.Body)

		booking := bookingOf(newKey(t))
		booked := do(t, client, booking)
		assert.Assert(t, booked.OK(), "%s", booked.Body)
		awaitProblem(t, client, booking, "/problems/key-answered")
		assert.Equal(t, site.Platform.Executions(booking.Key), 1)
	}
}
