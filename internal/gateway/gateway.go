// Package gateway is the HTTP front end for callers: it authenticates the team,
// matches the request to a class, validates the input and passes the request to
// the completion path or to the forwarder.
//
// Every refusal is sent as a problem of package problem. Each request reads the
// configuration once, as an immutable snapshot.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/ospreyshed/ospreyshed/internal/claim"
	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/forward"
	"github.com/ospreyshed/ospreyshed/internal/problem"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Names of headers that callers use.
const (
	// ClassHeader selects a class by name if several match the request.
	ClassHeader = "Ospreyshed-Class"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// AttemptHeader is the number of the caller's attempt with this key, starting at 1.
	AttemptHeader = "Ospreyshed-Attempt"
	// RequestIDHeader carries the request id in responses. The timeline uses the
	// same id.
	RequestIDHeader = "X-Request-Id"
)

// drainingRetryAfter is the Retry-After sent by a VM that stops. Another one can serve the
// request at once.
const drainingRetryAfter = time.Second

// Completer runs requests of model-backed classes on engines.
type Completer interface {
	Run(ctx context.Context, request *completion.Request, sink completion.Sink) (completion.Result, error)
}

// Forwarder sends requests of plain classes to their services.
type Forwarder interface {
	Do(ctx context.Context, call *forward.Call) (*forward.Reply, error)
}

// Claims decides which attempt may execute the call of an idempotency key.
type Claims interface {
	Claim(ctx context.Context, key claim.Key) (claim.Decision, error)
}

// Configuration returns the snapshot in force, nil while there is none.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Options are the dependencies and limits of a Gateway. All are required.
type Options struct {
	// VM and Incarnation identify this process in request ids.
	VM            string
	Incarnation   uint64
	Completer     Completer
	Forwarder     Forwarder
	Claims        Claims
	Answers       Answers
	Configuration Configuration
	// Joined reports whether other entry VMs know this one. The gateway is not
	// ready before that.
	Joined func() bool
	Events timeline.Recorder
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// WriteTimeout limits each write to a caller that has stopped reading.
	WriteTimeout time.Duration
}

// Counters count requests. The zero value is ready to use.
type Counters struct {
	// Received counts requests of known teams, Answered those that got a complete
	// response.
	Received, Answered atomic.Int64
	// RefusedNotRun, RefusedUnknown and RefusedRan count refusals by outcome.
	RefusedNotRun, RefusedUnknown, RefusedRan atomic.Int64
	// CallersGone counts requests whose caller disconnected before the end.
	CallersGone atomic.Int64
	// Interrupted counts responses that failed after a part had been delivered.
	Interrupted atomic.Int64
	// Unauthorized counts requests without a known bearer key.
	Unauthorized atomic.Int64
	// InFlight is the number of requests being served.
	InFlight atomic.Int64
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	// Counters are exported as metrics.
	Counters Counters

	options    Options
	router     *mux.Router
	lastNumber atomic.Uint64
	draining   atomic.Bool
	// end is the time at which requests in flight are cut off, nil until a stop begins.
	end atomic.Pointer[time.Time]
	// refusesNew is set once the load balancer sends no new connections.
	refusesNew atomic.Bool
}

// New returns a gateway.
func New(options Options) *Gateway {
	g := &Gateway{options: options, router: mux.NewRouter()}
	g.router.HandleFunc("/healthz", g.serveHealth).Methods(http.MethodGet)
	g.router.HandleFunc("/readyz", g.serveReady).Methods(http.MethodGet)
	g.router.HandleFunc("/v1/completions", g.serveModel).Methods(http.MethodPost)
	g.router.HandleFunc("/v1/chat/completions", g.serveModel).Methods(http.MethodPost)
	g.router.PathPrefix("/").HandlerFunc(g.servePlain)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.router.ServeHTTP(w, r)
}

// Drain makes readiness checks fail. Requests are still served, because the load
// balancer may send some for a while; their connections are closed after the
// response. Calls that must not be repeated are refused if they may take longer than
// until the end, the time at which requests in flight are cut off.
func (g *Gateway) Drain(end time.Time) {
	g.end.Store(&end)
	g.draining.Store(true)
}

// RefuseNew refuses requests that arrive from now on because other VMs can serve them:
// those of model-backed classes, and calls that may take longer than until the end.
func (g *Gateway) RefuseNew() { g.refusesNew.Store(true) }

// mayBeCutOff reports whether a request must not be run, because this VM may stop before it
// is answered.
func (g *Gateway) mayBeCutOff(x *exchange) bool {
	end := g.end.Load()
	switch {
	case end == nil:
		return false
	case x.class.ModelBacked():
		return g.refusesNew.Load()
	case x.class.Repeat != configuration.NeverRepeat && !g.refusesNew.Load():
		return false
	}
	return time.Now().Add(forward.Deadline(x.class)).After(*end)
}

// refuseStopping refuses a request that may be cut off. It returns false if it may not. An
// earlier attempt with the key, empty if there is none, may have run.
func (g *Gateway) refuseStopping(x *exchange, key string) bool {
	if !g.mayBeCutOff(x) {
		return false
	}
	outcome := problem.Unknown
	if key == "" || firstAttempt(x.r) {
		outcome = problem.NotRun
	}
	g.refuse(x, problem.New(problem.Draining, http.StatusServiceUnavailable, outcome, "").WithRetryAfter(drainingRetryAfter))
	return true
}

// serveHealth answers liveness checks.
func (g *Gateway) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// Ready reports whether a configuration is in force and other entry VMs know this
// one.
func (g *Gateway) Ready() bool {
	return g.options.Configuration.Snapshot() != nil && g.options.Joined()
}

// serveReady answers the load balancer's readiness checks.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.draining.Load():
		problem.Write(w, problem.New(problem.Draining, http.StatusServiceUnavailable, problem.NotRun, ""))
	case !g.Ready():
		problem.Write(w, notReady())
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// exchange is the state of one request.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	number   uint64
	id       string
	arrived  time.Time
	snapshot *configuration.Snapshot
	team     *configuration.CompiledTeam
	class    *configuration.Class
}

// begin assigns the request id and authenticates the team. If it refuses the
// request, it sends the response and returns nil.
func (g *Gateway) begin(w http.ResponseWriter, r *http.Request) *exchange {
	number := g.lastNumber.Add(1)
	x := &exchange{w: w, r: r, number: number, id: g.requestID(number), arrived: time.Now()}
	w.Header().Set(RequestIDHeader, x.id)
	x.snapshot = g.options.Configuration.Snapshot()
	if x.snapshot == nil {
		g.refuse(x, notReady())
		return nil
	}
	team, found := x.snapshot.TeamByKey(bearer(r))
	if !found {
		g.Counters.Unauthorized.Add(1)
		w.Header().Set("WWW-Authenticate", "Bearer")
		g.refuse(x, problem.New(problem.Unauthorized, http.StatusUnauthorized, problem.NotRun, ""))
		return nil
	}
	x.team = team
	g.Counters.Received.Add(1)
	return x
}

// classify finds the class of the request. If there is none, it sends the refusal
// and returns false.
func (g *Gateway) classify(x *exchange, model string) bool {
	class, found := x.team.Match(x.r.Method, x.r.URL.Path, model, x.r.Header.Get(ClassHeader))
	if !found {
		detail := "no class for " + x.r.Method + " " + x.r.URL.Path
		if model != "" {
			detail += " and model " + model
		}
		g.refuse(x, problem.New(problem.ClassNotAllowed, http.StatusForbidden, problem.NotRun, detail))
		return false
	}
	x.class = class
	g.options.Events.Record(timeline.RequestReceived, x.id, class.Name)
	return true
}

// requestID formats the id shown to callers.
func (g *Gateway) requestID(number uint64) string {
	b := make([]byte, 0, len(g.options.VM)+42)
	b = append(b, g.options.VM...)
	b = append(b, '.')
	b = strconv.AppendUint(b, g.options.Incarnation, 10)
	b = append(b, '.')
	b = strconv.AppendUint(b, number, 10)
	return string(b)
}

// refuse sends a problem response, counts it by outcome and adds it to the
// timeline.
func (g *Gateway) refuse(x *exchange, d *problem.Details) {
	switch d.Outcome {
	case problem.NotRun:
		g.Counters.RefusedNotRun.Add(1)
	case problem.Ran:
		g.Counters.RefusedRan.Add(1)
	default:
		g.Counters.RefusedUnknown.Add(1)
	}
	d.Request = x.id
	g.options.Events.Record(timeline.RequestRefused, x.id, string(d.Type)+" "+string(d.Outcome))
	g.setWriteDeadline(x.w)
	problem.Write(x.w, d)
}

// recordAnswered counts a complete response and adds it to the timeline.
func (g *Gateway) recordAnswered(x *exchange) {
	g.Counters.Answered.Add(1)
	g.options.Events.Record(timeline.RequestAnswered, x.id, x.class.Name)
}

// recordCallerGone counts a request whose caller disconnected and adds it to the
// timeline.
func (g *Gateway) recordCallerGone(x *exchange) {
	g.Counters.CallersGone.Add(1)
	g.options.Events.Record(timeline.CallerGone, x.id, x.class.Name)
}

// setWriteDeadline sets a deadline for the next writes, in case the caller has
// stopped reading.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.options.WriteTimeout))
}

// bearer returns the bearer key of a request, empty if there is none.
func bearer(r *http.Request) string {
	const scheme = "Bearer "
	value := r.Header.Get("Authorization")
	if len(value) <= len(scheme) || value[:len(scheme)] != scheme {
		return ""
	}
	return value[len(scheme):]
}

const notReadyRetryAfter = 2 * time.Second

func notReady() *problem.Details {
	return problem.New(problem.NotReady, http.StatusServiceUnavailable, problem.NotRun, "").WithRetryAfter(notReadyRetryAfter)
}
