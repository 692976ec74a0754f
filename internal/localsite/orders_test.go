package localsite

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin"
)

// startWithSecondPrefillEngines starts the quickstart deployment with two prefill
// engines in each zone. Engines of zone-a check fencing numbers, those of zone-b
// ignore them.
func startWithSecondPrefillEngines(t *testing.T) *Site {
	t.Helper()
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	bundle.Fleet.WeightStoreBytesPerSecond = 0
	for _, e := range bundle.Fleet.Endpoints {
		if e.Role == configuration.RolePrefill {
			e.Name += "-second"
			bundle.Fleet.Endpoints = append(bundle.Fleet.Endpoints, e)
		}
	}
	site, err := Start(t.Context(), Options{Bundle: bundle, Tune: func(options *standin.Options) {
		for i := range options.Engines {
			options.Engines[i].TokenInterval = configuration.Duration(time.Millisecond)
			options.Engines[i].OutputTokens = outputTokens
			options.Engines[i].OrderDuration = configuration.Duration(200 * time.Millisecond)
		}
	}})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, site.Close(context.Background())) })
	return site
}

// changeEngines configures version 2 for all engines and the decode role for a
// prefill engine of zone-a.
func changeEngines(bundle *configuration.Bundle) {
	bundle.Fleet.Endpoints = slices.Clone(bundle.Fleet.Endpoints)
	for i := range bundle.Fleet.Endpoints {
		e := &bundle.Fleet.Endpoints[i]
		if e.Kind != configuration.KindEngine {
			continue
		}
		e.Version = "2"
		if e.Name == "prefill-a1-second" {
			e.Role = configuration.RoleDecode
			e.Slots = 20
		}
	}
}

// awaitConverged waits until all engines have their configured version and role.
func awaitConverged(t *testing.T, site *Site) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, e := range site.Platform.Engines {
			state, want := e.State(), endpointOf(site, name)
			if state.Version != want.Version || state.Role != want.Role || state.Busy {
				return poll.Continue("%s: %+v", name, state)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

func TestEnginesConvergeUnderLoad(t *testing.T) {
	site := startWithSecondPrefillEngines(t)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var answered atomic.Int64
	for worker, client := range clientsOf(t, site) {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				prompt := fmt.Sprintf("converge %d %d", worker, i)
				answer, err := client.Do(t.Context(), summaryOf(prompt))
				if err != nil || answer.Text != answerTo(prompt) {
					t.Errorf("%s: %v %+v", prompt, err, answer)
					return
				}
				answered.Add(1)
			}
		})
	}
	begun := time.Now()
	changeEngines(&site.Bundle)
	assert.NilError(t, site.Publish(t.Context(), site.Bundle))
	awaitConverged(t, site)
	t.Logf("%d engines converged after %s, %d requests answered", len(site.Platform.Engines), time.Since(begun), answered.Load())
	stop()
	callers.Wait()
	assert.Assert(t, answered.Load() > 0)
	for name, e := range site.Platform.Engines {
		counts, state := e.Counts(), e.State()
		assert.Equal(t, len(counts.OrdersAccepted), 1, name)
		assert.Equal(t, counts.OrdersStale, 0, name)
		endpoint := endpointOf(site, name)
		assert.Equal(t, state.ChecksFencing, endpoint.Fencing == configuration.FencingChecks, name)
		assert.Equal(t, endpoint.Zone == "zone-a", state.ChecksFencing, name)
	}
	for _, vm := range site.VMs {
		for _, name := range vm.Metrics().Undocumented() {
			assert.Assert(t, !strings.HasPrefix(name, "lease.") && !strings.HasPrefix(name, "order."), name)
		}
	}
}

func endpointOf(site *Site, name string) configuration.Endpoint {
	i := slices.IndexFunc(site.Bundle.Fleet.Endpoints, func(e configuration.Endpoint) bool { return e.Name == name })
	return site.Bundle.Fleet.Endpoints[i]
}
