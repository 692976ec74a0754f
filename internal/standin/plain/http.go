package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/ospreyshed/ospreyshed/internal/standin/ctxtime"
	"github.com/ospreyshed/ospreyshed/internal/standin/httpserver"
)

// Headers of the protocol between the router and plain services.
const (
	RequestIDHeader      = httpserver.RequestIDHeader
	IdempotencyKeyHeader = "Idempotency-Key"
	LeavingHeader        = "Ospreyshed-Leaving"
)

// maxBodyBytes limits the size of a call's body.
const maxBodyBytes = 16 << 20

// Receipt is the body of a reply. It describes the executed call.
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

// Handler returns the HTTP handler of the service: every path is a call, except
// those of the load report and of the stand-in's controls.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	httpserver.Controls(router, s.Faults, s.SetFaults, s.Counts)
	router.HandleFunc("/v1/load", s.serveLoad).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return httpserver.RepeatRequestID(router)
}

type loadResponse struct {
	TimeMS int64 `json:"time_ms"`
	Active int   `json:"active"`
	Limit  int   `json:"limit"`
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	if s.options.HideLoad {
		httpserver.WriteError(w, http.StatusNotFound, "%s does not report its load", s.options.Name)
		return
	}
	response := loadResponse{TimeMS: time.Now().UnixMilli(), Active: s.Counts().Active, Limit: s.options.Limit}
	httpserver.WriteJSON(w, http.StatusOK, response)
}

// outcome describes how a call is handled.
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
	result := s.execute(r)
	if result.faults.Leaving {
		w.Header().Set(LeavingHeader, strconv.FormatBool(true))
	}
	if result.refuse {
		httpserver.WriteError(w, http.StatusServiceUnavailable, "%s is leaving", s.options.Name)
		return
	}
	defer s.finish()
	if !ctxtime.Sleep(r.Context(), s.options.Delay.D()+result.faults.Slow.D()) || result.loseReply {
		s.countLostReply()
		httpserver.AbortConnection()
	}
	if result.faults.CutReplies {
		s.countLostReply()
		sendPartialReply(w)
	}
	httpserver.WriteJSON(w, http.StatusOK, s.receipt(r, body, result.execution))
}

// sendPartialReply sends the beginning of a body and closes the connection.
func sendPartialReply(w http.ResponseWriter) {
	const partialBody = `{"service": "`
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(2*len(partialBody)))
	_, _ = io.WriteString(w, partialBody)
	_ = http.NewResponseController(w).Flush()
	httpserver.AbortConnection()
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
