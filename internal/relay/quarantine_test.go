package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// noPeers is a quarantine.Peers without other VMs.
type noPeers struct{}

func (noPeers) Exchange(context.Context, membership.Member, quarantine.Message) (quarantine.Message, error) {
	return quarantine.Message{}, errors.New("no such VM")
}

// neverReplaced are engines whose addresses no other process takes over.
type neverReplaced struct{ *upstream.Client }

func (neverReplaced) Replaced(string, string) bool { return false }

// startQuarantine returns the quarantine of a fixture's relay.
func startQuarantine(t *testing.T, client *upstream.Client, log *decisionlog.Log) *quarantine.Service {
	t.Helper()
	self := membership.Member{VM: "vm", Zone: "a", State: membership.Alive}
	service := quarantine.New(quarantine.Params{
		View: membership.Static{This: self, All: []membership.Member{self}}, Peers: noPeers{}, Engines: neverReplaced{client}, Log: log,
		Clock:  time.Now,
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { service.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return service
}

// crashInterval is the time between crashes that count separately.
const crashInterval = 350 * time.Millisecond

// part is a part of prompts on which crashing engines crash.
const part = "x"

// crashingEngines adds decode engines whose processes end as soon as they are to answer a
// request, before the first event if it is 0, else after it.
func (s *fixture) crashingEngines(events int, names ...string) {
	for _, name := range names {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			s.calls = append(s.calls, name)
			s.mu.Unlock()
			w.Header().Set(idHeader, r.Header.Get(idHeader))
			eventsBetween(w, 1, events)
			_ = http.NewResponseController(w).Flush()
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		s.t.Cleanup(server.Close)
		s.add(name, "pool", configuration.RoleDecode, server.Listener.Addr().String())
	}
}

// inTurn grants one engine after the other for both stages.
func inTurn(names ...string) []func(scheduling.Demand) (scheduling.Grant, error) {
	var answers []func(scheduling.Demand) (scheduling.Grant, error)
	for _, name := range names {
		answers = append(answers, grant(name, name))
	}
	return answers
}

func withParts(parts ...string) *Generation {
	return &Generation{PromptTokens: 100, MaxOutputTokens: 50, SharedParts: parts}
}

// awaitHeld waits until the crashes so far have been judged.
func (s *fixture) awaitHeld(parts ...string) {
	for {
		if _, held := s.relay.options.Quarantine.Request("pool", "", parts).Held(); held {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Requests with a part that crashes engines were taken for sound and sent to one engine
// after the other, each request to several.
func TestPartThatCrashesEnginesReachesNoFurtherEngine(t *testing.T) {
	for _, events := range []int{0, 1} {
		names := []string{"d1", "d2", "d3", "d4", "d5", "d6"}
		s := newFixture(t, inTurn(names...)...)
		s.crashingEngines(events, names...)
		for range 3 {
			caller := s.serve(check, withParts("a", part))
			assert.Assert(t, !strings.HasPrefix(caller.outcome, "refused"), "%s", caller.outcome)
			time.Sleep(crashInterval)
		}
		s.awaitHeld("a", part)
		reached, heldBack := s.callCount(), s.relay.Counters.HeldBack.Load()
		caller := s.serve(check, withParts("a", part))
		assert.Equal(t, caller.outcome, "refused: "+reasonQuarantined)
		assert.Assert(t, caller.retryAfter > 0)
		assert.Equal(t, s.callCount(), reached)
		assert.Equal(t, s.relay.Counters.HeldBack.Load(), heldBack+1)
	}
}

// A part is quarantined while a request with it waits for engines or for its prefill.
func TestQuarantineHoldsRequestsThatWait(t *testing.T) {
	crashing := []string{"d1", "d2", "d3"}
	for name, c := range map[string]struct {
		granted string
		calls   string
	}{
		"before the prefill": {"d4", ""},
		"after the prefill":  {"p", "p:1 p:0"},
	} {
		t.Run(name, func(t *testing.T) {
			granted, judged := make(chan struct{}), make(chan struct{})
			wait := func(d scheduling.Demand) (scheduling.Grant, error) {
				if c.granted == "d4" {
					close(granted)
					<-judged
				}
				return grant(c.granted, "d4")(d)
			}
			s := newFixture(t, append([]func(scheduling.Demand) (scheduling.Grant, error){wait}, inTurn(crashing...)...)...)
			s.crashingEngines(0, crashing...)
			s.endpoint("d4", "pool", configuration.RoleDecode, events(3))
			s.endpoint("p", "pool", configuration.RolePrefill, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					close(granted)
					<-judged
				}
				_, _ = w.Write([]byte("kv"))
			})
			done := make(chan *recorder)
			go func() { done <- s.serve(check, withParts(part)) }()
			<-granted
			for range crashing {
				s.serve(dossier, withParts(part))
				time.Sleep(crashInterval)
			}
			s.awaitHeld(part)
			close(judged)
			caller := <-done
			assert.Equal(t, caller.outcome, "refused: "+reasonQuarantined)
			assert.Assert(t, !strings.Contains(s.callLog(), "d4"), "%s", s.callLog())
		})
	}
}

// Engines that end for reasons of their own must not lead to refusals of prompts that other
// engines answer.
func TestSoundPartsAreServedBesideCrashes(t *testing.T) {
	names := []string{"d1", "e", "d2", "e", "d3", "e"}
	s := newFixture(t, inTurn(names...)...)
	s.crashingEngines(0, "d1", "d2", "d3")
	s.endpoint("e", "pool", configuration.RoleDecode, events(3))
	for range names {
		caller := s.serve(dossier, withParts("a", "b"))
		assert.Assert(t, !strings.HasPrefix(caller.outcome, "refused"), "%s", caller.outcome)
		time.Sleep(crashInterval)
	}
}
