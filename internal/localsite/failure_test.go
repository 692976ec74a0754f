package localsite

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
)

// setPlainFaults sets the faults of all plain services.
func setPlainFaults(site *Site, faults plain.Faults) {
	for _, service := range site.Platform.Plain {
		service.SetFaults(faults)
	}
}

func TestBookingWhoseReplyIsLostRunsOnceAndIsUnknown(t *testing.T) {
	site := startQuickstart(t)
	setPlainFaults(site, plain.Faults{LoseNextReplies: 1})
	clients := clientsOf(t, site)
	booking := bookingOf(newKey(t))
	first := do(t, clients[0], booking)
	assert.Equal(t, first.Problem, "/problems/endpoint-failed")
	assert.Equal(t, first.Outcome, "unknown")
	for _, client := range clients {
		repeat := awaitProblem(t, client, booking, "/problems/key-unknown")
		assert.Equal(t, repeat.Outcome, "unknown")
	}
	assert.Equal(t, site.Platform.Executions(booking.Key), 1)
}

func TestBookingWithCutReplyRanAndIsNotForwarded(t *testing.T) {
	site := startQuickstart(t)
	setPlainFaults(site, plain.Faults{CutReplies: true})
	booking := bookingOf(newKey(t))
	answer := do(t, clientsOf(t, site)[0], booking)
	assert.Equal(t, answer.Problem, "/problems/endpoint-failed")
	assert.Equal(t, answer.Outcome, "ran")
	assert.Equal(t, site.Platform.Executions(booking.Key), 1)
}

func TestBookingWhileTheLogIsAwayDoesNotRunAndLookupsGoOn(t *testing.T) {
	site := startQuickstart(t)
	site.Platform.Log.SetFaults(logstore.Faults{Outage: true})
	client := clientsOf(t, site)[0]
	booking := bookingOf(newKey(t))
	booking.Attempt = 1
	refused := do(t, client, booking)
	assert.Equal(t, refused.Problem, "/problems/claim-unavailable")
	assert.Equal(t, refused.Outcome, "not-run")
	assert.Assert(t, refused.RetryAfter != "")
	booking.Attempt = 2
	again := do(t, client, booking)
	assert.Equal(t, again.Outcome, "unknown", "an earlier attempt with the key may have run")
	roster := do(t, client, lookup())
	assert.Assert(t, roster.OK())
	summary := do(t, client, summaryOf("during the outage"))
	assert.Equal(t, summary.Text, answerTo("during the outage"))
	assert.Equal(t, site.Platform.Executions(booking.Key), 0)
}

func TestCallerGoneFreesEngineMemoryThroughTheWholePath(t *testing.T) {
	site := startQuickstart(t)
	for _, e := range site.Platform.Engines {
		e.SetFaults(engine.Faults{IgnoreClose: true, Slow: endlessSlowdown})
	}
	ctx, disconnect := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i, client := range clientsOf(t, site) {
		callers.Go(func() { _, _ = client.Do(ctx, summaryOf(fmt.Sprint("abandoned ", i))) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if site.Platform.Totals().PiecesHeld > 0 {
			return poll.Success()
		}
		return poll.Continue("no engine memory is held")
	}, poll.WithTimeout(pollTimeout))
	disconnect()
	callers.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := site.Platform.Totals().PiecesHeld; held > 0 {
			return poll.Continue("%d pieces are held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	site := startQuickstart(t)
	client := clientsOf(t, site)[0]
	site.Platform.Leave("decode-a1")
	site.Platform.Leave("registration-a")
	received := func() int {
		return len(site.Platform.Engines["decode-a1"].Counts().Executions) +
			site.Platform.Plain["registration-a"].Counts().Executions
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := received()
		for i := range 4 {
			assert.Assert(t, do(t, client, lookup()).OK())
			prompt := fmt.Sprint("leaving ", i)
			assert.Equal(t, do(t, client, summaryOf(prompt)).Text, answerTo(prompt))
		}
		if received() > before {
			return poll.Continue("a leaving endpoint still gets work")
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	after := received()
	for i := range 8 {
		assert.Assert(t, do(t, client, lookup()).OK())
		assert.Assert(t, do(t, client, summaryOf(fmt.Sprint("left ", i))).OK())
	}
	assert.Equal(t, received(), after)
}

// ready reports whether an entry VM passes the readiness check of a load balancer.
func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestGracefulShutdownUnderLoadCutsNothing(t *testing.T) {
	site := startQuickstart(t)
	defer http.DefaultClient.CloseIdleConnections()
	name := site.Bundle.Fleet.VMs[0].Name
	address := site.VMs[name].CallerAddr()
	var sent, answered atomic.Int64
	var callers sync.WaitGroup
	for _, e := range site.Platform.Engines {
		// Answers take longer than the balancer's lag.
		e.SetFaults(engine.Faults{Slow: 20})
	}
	const workers = 8
	for worker := range workers {
		client := clientOf(t, address)
		callers.Go(func() {
			for i := 0; ready(t.Context(), address); i++ {
				prompt := fmt.Sprintf("shutdown %d %d", worker, i)
				sent.Add(1)
				answer, err := client.Do(t.Context(), summaryOf(prompt))
				if err == nil && answer.Text == answerTo(prompt) {
					answered.Add(1)
				}
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sent.Load() > workers {
			return poll.Success()
		}
		return poll.Continue("%d requests sent", sent.Load())
	}, poll.WithTimeout(pollTimeout))
	assert.NilError(t, site.StopVM(context.Background(), name))
	callers.Wait()
	assert.Equal(t, answered.Load(), sent.Load())
}

func TestAnswerIsGivenOncePerKeyAcrossVMs(t *testing.T) {
	site := startQuickstart(t)
	clients := clientsOf(t, site)
	for i := range 8 {
		request := summaryOf(fmt.Sprint("once ", i))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			// A VM that has just started has no record of older keys, so each try
			// uses a new key.
			request.Key = newKey(t)
			if answer := do(t, clients[0], request); !answer.OK() {
				return poll.Continue("%s", answer.Problem)
			}
			return poll.Success()
		}, poll.WithTimeout(pollTimeout))
		for _, client := range clients {
			awaitProblem(t, client, request, "/problems/key-answered")
		}
	}
}

func TestConfigurationSurvivesOutageAndReplacedVM(t *testing.T) {
	site := startQuickstart(t)
	changed := site.Bundle
	changed.Teams = append([]configuration.Team(nil), site.Bundle.Teams...)
	changed.Teams[0].Share = 3
	assert.NilError(t, site.Publish(t.Context(), changed))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, vm := range site.VMs {
			if got := vm.Version("team/quickstart"); got != 2 {
				return poll.Continue("%s serves by version %d", name, got)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	site.Platform.Log.SetFaults(logstore.Faults{Outage: true})
	name := site.Bundle.Fleet.VMs[0].Name
	assert.NilError(t, site.StopVM(context.Background(), name))
	assert.NilError(t, site.StartVM(t.Context(), name))
	assert.NilError(t, site.AwaitReady(t.Context()))
	assert.Equal(t, site.VMs[name].Version("team/quickstart"), uint64(2), "a replaced VM reverted")
	answer := do(t, clientOf(t, site.VMs[name].CallerAddr()), lookup())
	assert.Assert(t, answer.OK())
}

func TestZoneWithoutItsPrefillEngineUsesTheOtherZone(t *testing.T) {
	site := startQuickstart(t)
	client := clientOf(t, site.VMs["entry-a"].CallerAddr())
	assert.Assert(t, do(t, client, summaryOf("before")).OK())
	// The engine accepts connections and closes them, so that cancels get no
	// response.
	site.Platform.Engines["prefill-a1"].SetFaults(engine.Faults{Down: true})
	for i := range 6 {
		prompt := fmt.Sprint("without prefill-a1 ", i)
		answer := do(t, client, summaryOf(prompt))
		assert.Equal(t, answer.Text, answerTo(prompt), "request %d: %s", i, answer.Body)
	}
}
