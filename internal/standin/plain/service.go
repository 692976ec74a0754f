// Package plain is a stand-in for a plain service. It executes every call by
// counting it and answers with what it has executed.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// The headers of the protocol towards plain services.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	LeavingHeader        = "Ospreyshed-Leaving"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 16 << 20

// Options set up a Service.
type Options struct {
	Name string `json:"name"`
	// Limit is the number of concurrent calls in the load report, HideLoad
	// makes the report unknown (404).
	Limit    int  `json:"limit"`
	HideLoad bool `json:"hide_load"`
	// Delay is the time that a call takes.
	Delay configuration.Duration `json:"delay"`
	// Seed makes the choice of lost replies repeatable.
	Seed uint64 `json:"seed"`
}

// Faults are the failures that a Service can be made to show.
type Faults struct {
	// LoseReplies is the share of calls, 0 to 1, whose reply is lost after the
	// execution.
	LoseReplies float64 `json:"lose_replies"`
	// LoseNextReplies loses the replies of this many further calls.
	LoseNextReplies int `json:"lose_next_replies"`
	// CutReplies cuts every reply in the middle of its body.
	CutReplies bool `json:"cut_replies"`
	// Slow is added to the time that a call takes.
	Slow configuration.Duration `json:"slow"`
	// Leaving marks every reply as one of a leaving endpoint. Calls still run.
	Leaving bool `json:"leaving"`
	// RefuseWhenLeaving answers 503 instead of executing while Leaving is set.
	RefuseWhenLeaving bool `json:"refuse_when_leaving"`
}

// Counts are what a Service has done since its start.
type Counts struct {
	// Executions is the number of calls executed.
	Executions int `json:"executions"`
	// ByKey and ByRequest count executions by Idempotency-Key and X-Request-Id.
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
	// RepliesLost are executions whose reply was lost or cut.
	RepliesLost int `json:"replies_lost"`
	// AfterLeaving are calls that arrived after leaving began.
	AfterLeaving int `json:"after_leaving"`
	// Active are the calls that run now.
	Active int `json:"active"`
}

// Receipt is the body of a reply.
type Receipt struct {
	Service        string `json:"service"`
	Execution      int    `json:"execution"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// BodyDigest is the SHA-256 digest of the call's body in hex.
	BodyDigest string `json:"body_digest"`
}

// Service is a plain service in memory. It is safe for concurrent use.
type Service struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	counts Counts
}

// New returns a Service.
func New(options Options) *Service {
	return &Service{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		counts:  Counts{ByKey: make(map[string]int), ByRequest: make(map[string]int)},
	}
}

// Handler serves the service on every path but those of the load report and of
// the stand-in's controls.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	httpserver.Controls(router, s.Faults, s.SetFaults, s.Counts)
	router.HandleFunc("/v1/load", s.serveLoad).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return router
}

type loadAnswer struct {
	TimeMS int64 `json:"time_ms"`
	Active int   `json:"active"`
	Limit  int   `json:"limit"`
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if s.options.HideLoad {
		httpserver.WriteError(w, http.StatusNotFound, "%s does not report its load", s.options.Name)
		return
	}
	answer := loadAnswer{TimeMS: time.Now().UnixMilli(), Active: s.Counts().Active, Limit: s.options.Limit}
	httpserver.WriteJSON(w, http.StatusOK, answer)
}

// outcome is what becomes of one call.
type outcome struct {
	refuse, loseReply bool
	faults            Faults
	execution         int
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		httpserver.WriteError(w, http.StatusBadRequest, "body: %v", err)
		return
	}
	verdict := s.execute(r)
	if verdict.faults.Leaving {
		w.Header().Set(LeavingHeader, strconv.FormatBool(true))
	}
	if verdict.refuse {
		httpserver.WriteError(w, http.StatusServiceUnavailable, "%s is leaving", s.options.Name)
		return
	}
	defer s.finish()
	if !httpserver.Sleep(r.Context(), s.options.Delay.D()+verdict.faults.Slow.D()) || verdict.loseReply {
		s.countLostReply()
		httpserver.Cut()
	}
	if verdict.faults.CutReplies {
		s.countLostReply()
		cutReply(w)
	}
	httpserver.WriteJSON(w, http.StatusOK, s.receipt(r, body, verdict.execution))
}

// execute counts a call and decides on its reply. A call counts as executed as
// soon as it has arrived.
func (s *Service) execute(r *http.Request) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		s.counts.AfterLeaving++
	}
	if s.faults.Leaving && s.faults.RefuseWhenLeaving {
		return outcome{refuse: true, faults: s.faults}
	}
	s.counts.Executions++
	s.counts.Active++
	countHeader(s.counts.ByKey, r, IdempotencyKeyHeader)
	countHeader(s.counts.ByRequest, r, RequestIDHeader)
	return outcome{loseReply: s.losesReply(), faults: s.faults, execution: s.counts.Executions}
}

func countHeader(counts map[string]int, r *http.Request, header string) {
	if value := r.Header.Get(header); value != "" {
		counts[value]++
	}
}

func (s *Service) losesReply() bool {
	if s.faults.LoseNextReplies > 0 {
		s.faults.LoseNextReplies--
		return true
	}
	return s.faults.LoseReplies > 0 && s.random.Float64() < s.faults.LoseReplies
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Active--
}

func (s *Service) countLostReply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.RepliesLost++
}

// cutReply sends the first part of a body and cuts the connection.
func cutReply(w http.ResponseWriter) {
	const part = `{"service": "`
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(2*len(part)))
	_, _ = io.WriteString(w, part)
	_ = http.NewResponseController(w).Flush()
	httpserver.Cut()
}

func (s *Service) receipt(r *http.Request, body []byte, execution int) Receipt {
	digest := sha256.Sum256(body)
	return Receipt{
		Service:        s.options.Name,
		Execution:      execution,
		Method:         r.Method,
		Path:           r.URL.Path,
		Query:          r.URL.RawQuery,
		RequestID:      r.Header.Get(RequestIDHeader),
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		BodyDigest:     hex.EncodeToString(digest[:]),
	}
}

// Faults returns the faults that are set.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns what the service has done.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByKey = maps.Clone(counts.ByKey)
	counts.ByRequest = maps.Clone(counts.ByRequest)
	return counts
}

// Server is a Service that is served on a port.
type Server struct {
	*Service
	http *httpserver.Server
}

// Start serves a new Service on address, an IP number and port; port 0 picks a
// free one.
func Start(address string, options Options) (*Server, error) {
	service := New(options)
	server, err := httpserver.Start(address, service.Handler())
	if err != nil {
		return nil, err
	}
	return &Server{Service: service, http: server}, nil
}

// Addr returns the address that is served, an IP number and port.
func (s *Server) Addr() string { return s.http.Addr() }

// Close ends the service and cuts all connections.
func (s *Server) Close() error { return s.http.Close() }
