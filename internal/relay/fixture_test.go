package relay

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/membudget"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

func TestMain(m *testing.M) {
	if events, err := strconv.Atoi(os.Getenv(engineProcessVariable)); err == nil {
		serveEngineProcess(events)
		return
	}
	goleak.VerifyTestMain(m)
}

// The header fields of testDialect.
const (
	idHeader       = "Test-Id"
	stageHeader    = "Test-Stage"
	sourceHeader   = "Test-Source"
	lastHeader     = "Test-Last-Event"
	declinedHeader = "Test-Declined"
	leavingHeader  = "Test-Leaving"
	limitHeader    = "Test-Limit"
	quietHeader    = "Test-Quiet"
	slowHeader     = "Test-Slowdown"
	// notEventsHeader and unsignedHeader mark a response that testDialect judges so.
	notEventsHeader = "Test-Not-Events"
	unsignedHeader  = "Test-Unsigned"
)

// testDialect implements Dialect.
type testDialect struct{}

func (testDialect) Header(request *Request, call *Call) http.Header {
	header := http.Header{}
	header.Set(idHeader, request.ID)
	header.Set(stageHeader, strconv.Itoa(int(call.Stage)))
	if call.Source != nil {
		header.Set(sourceHeader, call.Source.Handle)
	}
	header.Set(lastHeader, cmp.Or(call.LastEventID, request.lastEventID()))
	return header
}

func (testDialect) LastEventID(header http.Header) string { return header.Get(lastHeader) }

func (testDialect) Judge(_ *Request, _ *Call, response *upstream.Response) Verdict {
	return Verdict{
		NotRun:         response.Header.Get(declinedHeader) != "",
		NotEvents:      response.Header.Get(notEventsHeader) != "",
		Unsigned:       response.Header.Get(unsignedHeader) != "",
		PromisesNotRun: response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests,
		OtherInstance:  response.Status == http.StatusMisdirectedRequest,
		Announcement:   testAnnouncement(response),
		Limit:          testLimit(response),
		Load:           testLoad(response),
	}
}

func testQuiet(response *upstream.Response) time.Duration {
	quiet, err := time.ParseDuration(response.Header.Get(quietHeader))
	if err != nil {
		return 0
	}
	return quiet
}

func testLoad(response *upstream.Response) *Load {
	slowdown, err := strconv.ParseFloat(response.Header.Get(slowHeader), 64)
	if err != nil {
		return nil
	}
	return &Load{Slowdown: slowdown}
}

func testLimit(response *upstream.Response) *endpoint.Limit {
	rate, err := strconv.ParseFloat(response.Header.Get(limitHeader), 64)
	return &endpoint.Limit{Named: err == nil, PerSecond: rate}
}

func (testDialect) EventFields() []string { return []string{"test-version"} }

func (testDialect) DecodePrefill(body []byte) (PrefillResult, error) {
	if len(body) == 0 {
		return PrefillResult{}, errors.New("no handle")
	}
	return PrefillResult{Handle: string(body), Tokens: 100}, nil
}

func (testDialect) JudgeFree(_ *Source, response *upstream.Response) endpoint.Announcement {
	return testAnnouncement(response)
}

func testAnnouncement(response *upstream.Response) endpoint.Announcement {
	return endpoint.Announcement{Leaving: response.Header.Get(leavingHeader) != "", Quiet: testQuiet(response)}
}

func (testDialect) Free(source *Source) *upstream.Request {
	return &upstream.Request{Method: http.MethodDelete, Target: "/free/" + source.Handle, Header: http.Header{}}
}

// fakeReserver gives the configured answers in turn and records demands and progress. A
// nil answer means that the demand waits until it is withdrawn.
type fakeReserver struct {
	mu       sync.Mutex
	answers  []func(d scheduling.Demand) (scheduling.Grant, error)
	demands  []scheduling.Demand
	progress []scheduling.Progress
}

// grant returns an answer that assigns two engines.
func grant(prefill, decode string) func(scheduling.Demand) (scheduling.Grant, error) {
	return func(d scheduling.Demand) (scheduling.Grant, error) {
		return scheduling.Grant{ID: d.ID, Prefill: prefill, Decode: decode}, nil
	}
}

// refuseTarget refuses a demand because its target cannot be met.
func refuseTarget(scheduling.Demand) (scheduling.Grant, error) {
	return scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedTarget, RetryAfter: time.Millisecond}
}

func (f *fakeReserver) Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	f.mu.Lock()
	answer := f.answers[min(len(f.demands), len(f.answers)-1)]
	f.demands = append(f.demands, d)
	f.mu.Unlock()
	if answer == nil {
		<-ctx.Done()
		return scheduling.Grant{}, ctx.Err()
	}
	return answer(d)
}

// awaitDemands waits for a number of demands.
func (f *fakeReserver) awaitDemands(count int) {
	for {
		f.mu.Lock()
		received := len(f.demands)
		f.mu.Unlock()
		if received >= count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fakeReserver) Progress(p scheduling.Progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress = append(f.progress, p)
}

func (f *fakeReserver) Delivered(engine.AttemptID, int) {}

// released returns the number of attempts that were released.
func (f *fakeReserver) released() int {
	return strings.Count(f.kinds(), string(scheduling.Released))
}

// kinds returns the kinds of progress in order.
func (f *fakeReserver) kinds() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var kinds []string
	for _, p := range f.progress {
		kinds = append(kinds, string(p.Kind))
	}
	return strings.Join(kinds, " ")
}

// fakeOrigins records what is reported and answers all searches alike.
type fakeOrigins struct {
	mu       sync.Mutex
	found    origin.Origin
	err      error
	searched []string
	// inArchive and archiveErr answer searches in the archive, which archiveSearches counts.
	inArchive       origin.Origin
	archiveErr      error
	archiveSearches int
	recorded        []origin.Origin
	ended           []string
	// unconfirmed and unarchived answer Confirm and ConfirmArchived.
	unconfirmed, unarchived error
}

func (f *fakeOrigins) Record(o origin.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, o)
}

func (f *fakeOrigins) End(stream string, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, stream+":"+strconv.FormatBool(complete))
}

func (f *fakeOrigins) Confirm(context.Context, string) error { return f.unconfirmed }

func (f *fakeOrigins) Find(_ context.Context, stream string) (origin.Origin, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.searched = append(f.searched, stream)
	return f.found, f.err
}

func (f *fakeOrigins) FindArchived(context.Context, string) (origin.Origin, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.archiveSearches++
	return f.inArchive, f.archiveErr
}

func (f *fakeOrigins) ConfirmArchived(context.Context, string) error { return f.unarchived }

// fakeBuilds answers for all services alike.
type fakeBuilds struct {
	mu   sync.Mutex
	sole string
	// others is set if other services have engines.
	others bool
	// held are the builds whose engines may not begin streams.
	held map[string]bool
	// several is set if plain services have several builds.
	several bool
}

func (f *fakeBuilds) Several(time.Time, string) bool { return f.several }

func (f *fakeBuilds) Sole(time.Time, string) (string, bool) { return f.sole, f.sole != "" }

func (f *fakeBuilds) Alone(time.Time, string) bool { return !f.others }

func (f *fakeBuilds) Held(_ time.Time, _, build string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[build]
}

// list lets engines of a build begin streams.
func (f *fakeBuilds) list(build string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, build)
}

// fakeIncarnations has the errors of Confirm by engine.
type fakeIncarnations map[string]error

func (f fakeIncarnations) Confirm(_ context.Context, engine *configuration.Endpoint) error {
	return f[engine.Name]
}

// fakeAdmission admits all calls but those to endpoints with a wait.
type fakeAdmission struct {
	waits    map[string]time.Duration
	reported []string
}

func (f *fakeAdmission) Admit(_ context.Context, to *configuration.Endpoint) (time.Duration, bool) {
	wait, limited := f.waits[to.Name]
	return wait, !limited
}

func (f *fakeAdmission) ReportLimit(of *configuration.Endpoint) {
	f.reported = append(f.reported, of.Name)
}

// budget allows a number of retries.
type budget struct {
	mu   sync.Mutex
	left int
}

func (*budget) Earn(string) {}

func (b *budget) Spend(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left <= 0 {
		return false
	}
	b.left--
	return true
}

// await waits until a number of retries is left.
func (b *budget) await(left int) {
	for {
		b.mu.Lock()
		reached := b.left == left
		b.mu.Unlock()
		if reached {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (b *budget) Refund(string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left++
}

// recorder implements Caller and records the final answer.
type recorder struct {
	outcome      string
	status       int
	body         string
	retryAfter   time.Duration
	disconnected bool
	// unauthenticated is set if a refusal is for the key.
	unauthenticated bool
}

func (c *recorder) Deliver(a *Answer) {
	c.outcome, c.status, c.body = "answer", a.Status, string(a.Body)
}
func (c *recorder) Begin(status int, _ http.Header) { c.outcome, c.status = "stream", status }
func (c *recorder) Event(events []byte) error {
	if c.disconnected {
		return errors.New("the caller disconnected")
	}
	c.body += string(events)
	return nil
}
func (c *recorder) Abort() { c.outcome = "aborted" }
func (c *recorder) Refuse(r Refusal) {
	c.outcome, c.retryAfter, c.unauthenticated = "refused: "+r.Reason, r.RetryAfter, r.Unauthenticated
}
func (c *recorder) Fail(f Failure) { c.outcome = "failed: " + f.Reason }

// fixture is a relay with endpoints on loopback.
type fixture struct {
	t         *testing.T
	relay     *Relay
	fleet     *fleet.Store
	endpoints *endpoint.Registry
	reserver  *fakeReserver
	origins   *fakeOrigins
	builds    *fakeBuilds
	admission fakeAdmission
	// unconfirmed are the engines whose processes are not confirmed.
	unconfirmed fakeIncarnations
	// endpointsAge is the age of the fleet's endpoints, configurationAge that of the configuration.
	endpointsAge, configurationAge time.Duration
	instances                      []fleet.Instance
	// eventTimeout is how long callers wait for an event.
	eventTimeout time.Duration
	// body is that of requests; memory counts their answers, nil if there is no bound.
	body   []byte
	memory *membudget.Holder
	// young is set if the VM has just started.
	young bool
	// takeUp is the stream that requests take up, nil if they take none up.
	takeUp *TakeUp
	// served counts the requests, no two of which are the same but for their IDs.
	served atomic.Int64
	// requestID is the ID of requests.
	requestID string
	// listen wraps the listeners of endpoints, nil if it does not.
	listen func(net.Listener) net.Listener
	mu     sync.Mutex
	// calls are the calls that endpoints received: name, stage, source and last event.
	calls []string
}

func newFixture(t *testing.T, answers ...func(scheduling.Demand) (scheduling.Grant, error)) *fixture {
	t.Helper()
	client := upstream.NewClient(upstream.Options{
		DialTimeout: time.Minute, UnackedTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 4, IDHeader: idHeader,
	})
	t.Cleanup(client.Close)
	log := decisionlog.Discard()
	t.Cleanup(log.Close)
	s := &fixture{
		t:         t,
		fleet:     fleet.NewStore(),
		endpoints: endpoint.NewRegistry(timeline.Discard),
		reserver:  &fakeReserver{answers: answers},
		origins:   &fakeOrigins{err: origin.Unknown.New("no record"), archiveErr: origin.Unknown.New("no record")},
		builds:    &fakeBuilds{},

		unconfirmed: make(fakeIncarnations),

		eventTimeout: time.Minute,
		requestID:    "r1",
	}
	s.fleet.SetTable(routing.NewTable(1, routing.Limits{}, nil, []routing.Service{
		{Name: "desk"},
		{Name: "pool", Engines: &routing.Engines{Slots: 8, MemoryTokens: 30_000, TokensPerEvent: 1}},
	}))
	s.relay = New(Options{
		PlainBuilds: s.builds, HistoryComplete: func() bool { return !s.young },

		VM: "vm", Incarnation: 1, Zone: "a", Fleet: s.fleet, Endpoints: s.endpoints, Reserver: s.reserver,
		EndpointsAge:     func() time.Duration { return s.endpointsAge },
		ConfigurationAge: func() time.Duration { return s.configurationAge },
		Admission:        &s.admission,
		Budget:           &budget{left: 10}, Client: client, Origins: s.origins, Builds: s.builds, Incarnations: s.unconfirmed, Dialect: testDialect{}, Log: log,
		Quarantine: startQuarantine(t, client, log),
	})
	return s
}

// endpoint adds an endpoint whose requests are handled by a function.
func (s *fixture) endpoint(name, service string, role configuration.Role, serve func(w http.ResponseWriter, r *http.Request)) {
	s.t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		call := name + ":" + r.Header.Get(stageHeader)
		for _, part := range []string{r.Header.Get(sourceHeader), r.Header.Get(lastHeader)} {
			if part != "" {
				call += "/" + part
			}
		}
		s.calls = append(s.calls, call)
		s.mu.Unlock()
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		serve(w, r)
	}))
	if s.listen != nil {
		server.Listener = s.listen(server.Listener)
	}
	server.Start()
	s.t.Cleanup(server.Close)
	s.add(name, service, role, server.Listener.Addr().String())
}

// add adds an endpoint at an address.
func (s *fixture) add(name, service string, role configuration.Role, address string) {
	s.instances = append(s.instances, fleet.Instance{ID: name, Endpoint: configuration.Endpoint{
		Name: name, Zone: "a", Address: address, Service: service, Role: role, Slots: 8,
	}})
	s.fleet.SetInstances(s.instances)
}

// setBuilds sets the builds of endpoints.
func (s *fixture) setBuilds(builds map[string]string) {
	for i := range s.instances {
		s.instances[i].Build = builds[s.instances[i].Name]
	}
	s.fleet.SetInstances(s.instances)
}

// drain marks an endpoint as draining.
func (s *fixture) drain(name string) {
	for i := range s.instances {
		if s.instances[i].Name == name {
			s.instances[i].Draining = true
		}
	}
	s.fleet.SetInstances(s.instances)
}

// callLog returns the calls that endpoints received, in order.
func (s *fixture) callLog() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.calls, " ")
}

// callCount returns the number of calls that endpoints received.
func (s *fixture) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// serve serves one request and returns the answer that its caller received.
func (s *fixture) serve(route routing.Route, generation *Generation) *recorder {
	s.t.Helper()
	caller := &recorder{}
	s.serveTo(s.t.Context(), caller, route, generation)
	return caller
}

func (s *fixture) serveTo(ctx context.Context, caller *recorder, route routing.Route, generation *Generation) {
	s.serveRequest(ctx, caller, route, s.request(generation))
}

// request returns a new request.
func (s *fixture) request(generation *Generation) *Request {
	takeUp := s.takeUp
	if generation == takenUp {
		takeUp = &TakeUp{LastEventID: "2", Resumes: "r0"}
	}
	return &Request{
		ID: s.requestID, Method: http.MethodPost, Target: "/x/" + strconv.FormatInt(s.served.Add(1), 10), Host: "a.example", Header: http.Header{},
		Arrived: time.Now(), Timeout: time.Minute, EventTimeout: s.eventTimeout, Generation: generation,
		Body: s.body, Memory: s.memory, TakeUp: takeUp,
	}
}

func (s *fixture) serveRequest(ctx context.Context, caller *recorder, route routing.Route, request *Request) {
	service := "desk"
	if request.Generation != nil {
		service = "pool"
	}
	s.relay.Serve(ctx, request, &route, s.fleet.Table().Service(service), caller)
}

// unreachable returns an address on which nothing listens.
func unreachable(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// reset closes the connection without an answer.
func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// answers returns a handler that answers with a status and a body.
func answers(status int, body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// declines rejects a request without running it.
func declines(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(declinedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events returns a handler that streams numbered events up to the last one, starting
// at 1 or after the last event that the caller received.
func events(last int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		if after, err := strconv.Atoi(r.Header.Get(lastHeader)); err == nil {
			first = after + 1
		}
		eventsBetween(w, first, last)
	}
}

// eventsBetween writes numbered events.
func eventsBetween(w http.ResponseWriter, first, last int) {
	for n := first; n <= last; n++ {
		_, _ = w.Write([]byte("id: " + strconv.Itoa(n) + "\ndata: t\n\n"))
	}
}

// eventText returns the text of the events from 1 to the last one.
func eventText(last int) string {
	text := ""
	for n := 1; n <= last; n++ {
		text += "id: " + strconv.Itoa(n) + "\ndata: t\n\n"
	}
	return text
}
