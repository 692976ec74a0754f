// Package problem writes refusals to callers as RFC 9457 problem details.
//
// Every refusal has a stable type, describes what is wrong and states in the
// Ospreyshed-Outcome header whether the request ran.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/finding"
)

// OutcomeHeader states whether a refused request ran.
const OutcomeHeader = "Ospreyshed-Outcome"

// Outcome is the value of OutcomeHeader.
type Outcome string

// The outcomes of a refused request.
const (
	// NotRun means that the request certainly did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran, in whole or in part.
	Ran Outcome = "ran"
)

// Type is the stable identifier of a kind of problem, a relative URI.
type Type string

// The types of problems. Each is described in docs/operations/problems.md.
const (
	BadRequest       Type = "/problems/bad-request"
	Unauthorized     Type = "/problems/unauthorized"
	ClassNotAllowed  Type = "/problems/class-not-allowed"
	TooLarge         Type = "/problems/too-large"
	NotReady         Type = "/problems/not-ready"
	Draining         Type = "/problems/draining"
	Overloaded       Type = "/problems/overloaded"
	TargetMissed     Type = "/problems/target-unreachable"
	NoEndpoint       Type = "/problems/no-endpoint"
	EndpointFailed   Type = "/problems/endpoint-failed"
	KeyRequired      Type = "/problems/key-required"
	KeyMalformed     Type = "/problems/key-malformed"
	KeyExpired       Type = "/problems/key-expired"
	KeyRunning       Type = "/problems/key-running"
	KeyAnswered      Type = "/problems/key-answered"
	KeyClosed        Type = "/problems/key-closed"
	KeyUnknown       Type = "/problems/key-unknown"
	ClaimUnavailable Type = "/problems/claim-unavailable"
)

// Details is the body of a refusal.
type Details struct {
	Type   Type   `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome repeats the OutcomeHeader.
	Outcome Outcome `json:"outcome"`
	// RetryAfter is sent as the Retry-After header; 0 means none.
	RetryAfter time.Duration `json:"-"`
	// Request is the request id, under which the timeline lists the request.
	Request string `json:"request,omitempty"`
	// Findings lists everything that is wrong with a bad request.
	Findings []finding.Finding `json:"findings,omitempty"`
}

// Error implements error.
func (d *Details) Error() string { return d.Title + ": " + d.Detail }

// New returns details with the title of their type.
func New(kind Type, status int, outcome Outcome, detail string) *Details {
	return &Details{Type: kind, Title: titles[kind], Status: status, Outcome: outcome, Detail: detail}
}

// WithRetryAfter sets the time after which the caller may retry.
func (d *Details) WithRetryAfter(wait time.Duration) *Details {
	d.RetryAfter = wait
	return d
}

var titles = map[Type]string{
	BadRequest:       "The request is malformed",
	Unauthorized:     "The bearer key is missing or unknown",
	ClassNotAllowed:  "The team has no class of request that matches",
	TooLarge:         "The request is too large",
	NotReady:         "This VM has no configuration yet",
	Draining:         "This VM is shutting down",
	Overloaded:       "Too many requests are waiting",
	TargetMissed:     "The latency targets cannot be met now",
	NoEndpoint:       "No endpoint is available",
	EndpointFailed:   "The endpoint failed",
	KeyRequired:      "The class requires an Idempotency-Key",
	KeyMalformed:     "The Idempotency-Key is malformed",
	KeyExpired:       "The Idempotency-Key is outside its window",
	KeyRunning:       "A request with this key is running",
	KeyAnswered:      "A request with this key has been answered",
	KeyClosed:        "The key was closed without running",
	KeyUnknown:       "It is unknown whether the request with this key ran",
	ClaimUnavailable: "The key cannot be claimed now",
}

// Types returns all types with their titles.
func Types() map[Type]string {
	all := make(map[Type]string, len(titles))
	for kind, title := range titles {
		all[kind] = title
	}
	return all
}

// Write sends the refusal. The header must not have been written yet.
func Write(w http.ResponseWriter, d *Details) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(OutcomeHeader, string(d.Outcome))
	if d.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(d.RetryAfter))
	}
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(d)
}

// retryAfterSeconds rounds up to whole seconds, at least 1.
func retryAfterSeconds(wait time.Duration) string {
	seconds := max(1, int(math.Ceil(wait.Seconds())))
	return strconv.Itoa(seconds)
}
