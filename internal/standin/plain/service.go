// Package plain is a stand-in for a plain service. Executing a call only counts
// it; the reply describes the call.
package plain

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Options configure a Service.
type Options struct {
	Name string `json:"name"`
	// Limit is the limit of concurrent calls that the load report shows; it is
	// not enforced. HideLoad disables the report (404).
	Limit    int  `json:"limit"`
	HideLoad bool `json:"hide_load"`
	// Delay is the duration of a call.
	Delay configuration.Duration `json:"delay"`
	// Seed makes the choice of lost replies reproducible.
	Seed uint64 `json:"seed"`
}

// Service is an in-memory plain service. It is safe for concurrent use.
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

// execute counts a call and returns how to handle it. A call that is not rejected
// counts as executed as soon as it has arrived.
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
	return outcome{loseReply: s.drawReplyLoss(), faults: s.faults, execution: s.counts.Executions}
}

func countHeader(counts map[string]int, r *http.Request, header string) {
	if value := r.Header.Get(header); value != "" {
		counts[value]++
	}
}

// drawReplyLoss decides by the faults whether the reply to a call is lost.
func (s *Service) drawReplyLoss() bool {
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

// Faults returns the current faults.
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

// Counts returns the counters.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByKey = maps.Clone(counts.ByKey)
	counts.ByRequest = maps.Clone(counts.ByRequest)
	return counts
}
