package localsite

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"gotest.tools/v3/poll"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/caller"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/standin"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/timeline/timelinerpc"
)

// The golden files contain whole sessions: the requests and answers of the caller,
// every message to and from each stand-in, and the merged timeline, with ids and
// times normalized. `go test ./internal/localsite -run Golden -update` rewrites
// them.

// session is a deployment of one prefill and two decode engines in one zone with
// two entry VMs, recorded at every stand-in.
type session struct {
	*Site
	t         *testing.T
	mu        sync.Mutex
	proxies   map[string]*recordingProxy
	clients   map[string]*caller.Client
	callerLog strings.Builder
	// requestsSent counts the requests to each entry VM.
	requestsSent map[string]int
}

// appendsPerBooking is the number of appends to the log for one keyed call: its
// claim and its outcome.
const appendsPerBooking = 2

// sessionTokens is the number of tokens of every answer.
const sessionTokens = 4

// newSession starts a deployment whose messages are recorded.
func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, proxies: make(map[string]*recordingProxy), clients: make(map[string]*caller.Client), requestsSent: make(map[string]int)}
	site, err := Start(t.Context(), Options{Bundle: sessionBundle(t), RewriteAddress: s.proxyAddress, Tune: func(options *standin.Options) {
		for i := range options.Engines {
			options.Engines[i].OutputTokens = engine.Range{Min: sessionTokens, Max: sessionTokens}
			options.Engines[i].TokenInterval = configuration.Duration(2 * time.Millisecond)
		}
		options.VMList.Lag = configuration.Duration(50 * time.Millisecond)
	}})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, site.Close(context.Background())) })
	s.Site = site
	for _, name := range []string{"entry-a", "entry-b"} {
		s.clients[name] = clientOf(t, site.VMs[name].CallerAddr())
	}
	return s
}

// sessionBundle returns the configuration of the quickstart deployment, reduced to
// one zone with both entry VMs, one prefill engine, two decode engines and one
// plain service.
func sessionBundle(t *testing.T) configuration.Bundle {
	t.Helper()
	bundle, err := BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	fleet := &bundle.Fleet
	fleet.Zones = fleet.Zones[:1]
	fleet.Links = nil
	for i := range fleet.VMs {
		fleet.VMs[i].Zone = fleet.Zones[0].Name
	}
	fleet.Endpoints = slices.DeleteFunc(fleet.Endpoints, func(e configuration.Endpoint) bool {
		return e.Zone != fleet.Zones[0].Name
	})
	return bundle
}

// proxyAddress returns the address of the recording proxy in front of a stand-in
// and starts the proxy if needed. Entry VMs reach their peers directly.
func (s *session) proxyAddress(name, address string) string {
	if strings.HasSuffix(name, "/peers") {
		return address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.proxies[name]
	if !found {
		p = newRecordingProxy(s.t, name, address)
		s.proxies[name] = p
	}
	return p.addr()
}

// send sends a request and records the request and its answer.
func (s *session) send(ctx context.Context, vm string, request caller.Request) {
	fmt.Fprintf(&s.callerLog, "caller to %s: %s %s", vm, request.Method, request.Path)
	if request.Key != "" {
		fmt.Fprintf(&s.callerLog, " key %s", request.Key)
	}
	fmt.Fprintf(&s.callerLog, "\n  %s\n", request.Body)
	s.requestsSent[vm]++
	answer, err := s.clients[vm].Do(ctx, request)
	switch {
	case err != nil && ctx.Err() != nil:
		s.callerLog.WriteString("  went away\n")
	case err != nil:
		fmt.Fprintf(&s.callerLog, "  failed: %v\n", err)
	case answer.OK() && answer.Text != "":
		fmt.Fprintf(&s.callerLog, "  %d %q\n", answer.Status, answer.Text)
	case answer.OK():
		fmt.Fprintf(&s.callerLog, "  %d %s\n", answer.Status, answer.Body)
	default:
		fmt.Fprintf(&s.callerLog, "  %d %s outcome %s retry after %q\n", answer.Status, answer.Problem, answer.Outcome, answer.RetryAfter)
	}
}

// note records a step of the test.
func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.callerLog, format+"\n", args...)
}

// events returns the merged timeline of the running entry VMs.
func (s *session) events() []timeline.Event {
	dialer := peer.NewDialer(peer.Options{})
	defer dialer.Close()
	var all []timeline.Event
	for _, vm := range s.VMs {
		batch, err := timelinerpc.NewReader(dialer, vm.PeerAddr(), "").Read(context.Background())
		assert.NilError(s.t, err)
		all = append(all, batch.Events...)
	}
	return timeline.Merge(all)
}

// awaitEvent waits until the timeline has an event of a kind.
func (s *session) awaitEvent(kind timeline.Kind) { s.awaitEvents(kind, 1) }

// awaitEvents waits until the timeline has a number of events of a kind.
func (s *session) awaitEvents(kind timeline.Kind, want int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		got := 0
		for _, e := range s.events() {
			if e.Kind == kind {
				got++
			}
		}
		if got < want {
			return poll.Continue("%d of %d %s", got, want, kind)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

// awaitClaimRecords waits until entry VMs have sent a number of appends of claims
// and outcomes to the log.
func (s *session) awaitClaimRecords(want int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		got := 0
		for _, name := range s.proxyNames() {
			got += strings.Count(s.proxies[name].transcript(), "/claims-")
		}
		if got < want {
			return poll.Continue("%d of %d appends", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

// awaitRequestEnds waits until the timeline has the end of every request to an
// entry VM that is still running. The end may be recorded shortly after the caller
// has received the answer.
func (s *session) awaitRequestEnds() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		missing := 0
		for vm, sent := range s.requestsSent {
			if _, running := s.VMs[vm]; running {
				missing += sent
			}
		}
		for _, e := range s.events() {
			switch e.Kind {
			case timeline.RequestAnswered, timeline.RequestRefused, timeline.RequestFailed, timeline.CallerGone:
				missing--
			}
		}
		if missing > 0 {
			return poll.Continue("%d requests have not ended", missing)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
}

// check compares the session with its golden file.
func (s *session) check(name string) {
	s.t.Helper()
	s.awaitRequestEnds()
	var text strings.Builder
	text.WriteString(s.callerLog.String())
	text.WriteString("\ntime line:\n")
	text.WriteString(s.timelineText())
	for _, proxyName := range s.proxyNames() {
		if transcript := s.proxies[proxyName].transcript(); transcript != "" {
			// The name of the VM is omitted: the random key determines which VM
			// appends to the log.
			_, service, _ := strings.Cut("/"+proxyName, "/")
			fmt.Fprintf(&text, "\n%s:\n%s", service[strings.LastIndex(service, "/")+1:], transcript)
		}
	}
	golden.Assert(s.t, normalize(text.String()), name+".golden")
}

// timelineText lists the events of requests in their order, then the events of
// background work sorted by text, because their order relative to the requests is
// not deterministic.
func (s *session) timelineText() string {
	var path, background []string
	for _, e := range s.events() {
		line := fmt.Sprintf("  %s %s %s %s\n", e.VM, e.Request, e.Kind, e.Detail)
		switch {
		case !inSession(e.Kind):
		case isBackground(e.Kind):
			background = append(background, line)
		default:
			path = append(path, line)
		}
	}
	slices.Sort(background)
	return strings.Join(path, "") + "in the background:\n" + strings.Join(background, "")
}

// isBackground reports whether events of a kind are recorded by background work.
func isBackground(kind timeline.Kind) bool {
	switch kind {
	case timeline.CancelSent, timeline.CancelConfirmed, timeline.SlotReleased, timeline.ClaimOutcome,
		timeline.ConfigurationSet, timeline.OrphanCancelled:
		return true
	}
	return false
}

// inSession reports whether events of a kind are part of a golden session. Events
// of members, leases and outages of the log are not, because they depend on timing.
func inSession(kind timeline.Kind) bool {
	group, _, _ := strings.Cut(string(kind), ".")
	return group != "member" && group != "lease" && group != "log"
}

func (s *session) proxyNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.proxies))
	for name := range s.proxies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// normalizers replace what differs between runs.
var normalizers = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`(entry-[a-z])[.](\d{12,})`), "$1.INCARNATION"},
	{regexp.MustCompile(`(/v1/incarnations/entry-[a-z])/\d+`), "$1/INCARNATION"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`), "KEY"},
	{regexp.MustCompile(`X-Request-Id: [A-Z2-7]{26}`), "X-Request-Id: CALL"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`"remote_port":\d+`), `"remote_port":PORT`},
	{regexp.MustCompile(`"(created|time_ms)":\d+`), `"$1":TIME`},
	{regexp.MustCompile(`"data":"[^"]*","id":"[^"]*"`), `"data":"...","id":"..."`},
	{regexp.MustCompile(`"first_offset":\d+`), `"first_offset":N`},
	{regexp.MustCompile(`claims-\d+`), "claims-N"},
	{regexp.MustCompile(`"body_digest":"[^"]*"`), `"body_digest":"..."`},
	{regexp.MustCompile(`(?m)[ \t]+$`), ""},
}

func normalize(text string) string {
	for _, n := range normalizers {
		text = n.pattern.ReplaceAllString(text, n.with)
	}
	return text
}

// awaitIdle waits until the engines hold no KV cache memory and a slot was released.
func (s *session) awaitIdle() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if held := s.Platform.Totals().PiecesHeld; held > 0 {
			return poll.Continue("%d pieces are held", held)
		}
		return poll.Success()
	}, poll.WithTimeout(pollTimeout))
	s.awaitEvent(timeline.SlotReleased)
}

func explanation() caller.Request {
	return caller.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"model":"drafter","messages":[{"role":"user","content":"Why this match?"}]}`),
	}
}

func TestGoldenSummary(t *testing.T) {
	s := newSession(t)
	s.send(t.Context(), "entry-a", summaryOf("Summarise the dossier"))
	s.check("summary")
}

func TestGoldenExplanation(t *testing.T) {
	s := newSession(t)
	s.send(t.Context(), "entry-b", explanation())
	s.check("explanation")
}

func TestGoldenLookup(t *testing.T) {
	s := newSession(t)
	s.send(t.Context(), "entry-a", lookup())
	s.check("lookup")
}

func TestGoldenBookingAndItsRepeat(t *testing.T) {
	s := newSession(t)
	booking := bookingOf(newKey(t))
	s.send(t.Context(), "entry-a", booking)
	s.awaitClaimRecords(appendsPerBooking)
	s.note("the outcome is recorded")
	s.send(t.Context(), "entry-a", booking)
	s.check("booking")
}

func TestGoldenBookingWithLostReply(t *testing.T) {
	s := newSession(t)
	setPlainFaults(s.Site, plain.Faults{LoseNextReplies: 1})
	s.note("the next reply of the service is lost")
	s.send(t.Context(), "entry-a", bookingOf(newKey(t)))
	s.awaitClaimRecords(appendsPerBooking)
	s.check("booking-lost-reply")
}

func TestGoldenRefusalWhileTheLogIsUnavailable(t *testing.T) {
	s := newSession(t)
	s.Platform.Log.SetFaults(logstore.Faults{Outage: true})
	s.note("the log is away")
	booking := bookingOf(newKey(t))
	booking.Attempt = 1
	s.send(t.Context(), "entry-a", booking)
	assert.Equal(t, s.Platform.Executions(booking.Key), 0)
	s.check("refusal")
}

func TestGoldenCallerGone(t *testing.T) {
	s := newSession(t)
	for _, name := range []string{"decode-a1", "decode-a2"} {
		s.Platform.Engines[name].SetFaults(engine.Faults{IgnoreClose: true, Slow: endlessSlowdown})
	}
	ctx, disconnect := context.WithCancel(t.Context())
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.send(ctx, "entry-a", summaryOf("Nobody waits for this"))
	}()
	s.awaitEvent(timeline.DecodeStarted)
	disconnect()
	<-answered
	s.awaitIdle()
	s.check("caller-gone")
}

func TestGoldenDecodeCrashAndResume(t *testing.T) {
	s := newSession(t)
	s.Platform.Engines["decode-a1"].SetFaults(engine.Faults{CrashAfterTokens: 2})
	s.note("decode-a1 crashes after 2 tokens")
	s.send(t.Context(), "entry-a", summaryOf("Survive the crash"))
	s.check("crash-resume")
}

func TestGoldenConfigurationRace(t *testing.T) {
	s := newSession(t)
	first, second := s.Bundle, s.Bundle
	first.Teams = slices.Clone(s.Bundle.Teams)
	second.Teams = slices.Clone(s.Bundle.Teams)
	first.Teams[0].Share = 2
	second.Teams[0].Share = 3
	first.BasedOn = map[string]uint64{"fleet": 1, "team/quickstart": 1}
	second.BasedOn = first.BasedOn
	s.note("two operators publish on top of version 1: share 2, then share 3")
	s.note("first: %v", s.Publish(t.Context(), first))
	err := s.Publish(t.Context(), second)
	assert.Assert(t, err != nil, "both publishes were accepted")
	s.note("second: %v", err)
	s.check("configuration-race")
}

func TestGoldenShutdown(t *testing.T) {
	s := newSession(t)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.send(t.Context(), "entry-a", summaryOf("Finish before you stop"))
	}()
	s.awaitEvent(timeline.RequestReceived)
	s.note("entry-a is told to stop")
	assert.NilError(t, s.StopVM(context.Background(), "entry-a"))
	<-answered
	s.note("entry-b makes sure that the engines hold nothing of it")
	s.awaitEvents(timeline.OrphanCancelled, len(s.Platform.Engines))
	s.check("shutdown")
}

func TestGoldenPartitionAndRecovery(t *testing.T) {
	s := newSession(t)
	s.proxies["entry-a/log"].partitioned.Store(true)
	s.note("entry-a is cut off from the log")
	booking := bookingOf(newKey(t))
	s.send(t.Context(), "entry-a", summaryOf("Serve on"))
	changed := s.Bundle
	changed.Teams = slices.Clone(s.Bundle.Teams)
	changed.Teams[0].Share = 2
	s.note("published: %v", s.Publish(t.Context(), changed))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.VMs["entry-a"].Version("team/quickstart") == 2 {
			return poll.Success()
		}
		return poll.Continue("entry-a still serves by the old version")
	}, poll.WithTimeout(pollTimeout))
	s.note("entry-a has the new version from its peer")
	s.proxies["entry-a/log"].partitioned.Store(false)
	s.note("healed")
	s.awaitEvent(timeline.LogBack)
	s.send(t.Context(), "entry-a", booking)
	s.awaitClaimRecords(appendsPerBooking)
	s.check("partition")
}
