package relay

import (
	"sync"
	"time"
)

// maxVotes limits the number of requests after which a new timeout replaces the
// former majority.
const maxVotes = 64

// waitEstimator estimates how long callers have waited in earlier attempts. A
// caller's first attempt states its full timeout, a retry only the remaining time.
// First attempts are the majority and state the same timeout on one route, so the
// majority timeout distinguishes them from retries.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]*majority
}

// majority finds the timeout that more than half of the requests state
// (Boyer-Moore majority vote with a capped counter).
type majority struct {
	timeout time.Duration
	votes   int
}

func newWaitEstimator() *waitEstimator { return &waitEstimator{routes: make(map[string]*majority)} }

// priorWait returns how long the caller of a request with the given timeout has
// already waited.
func (a *waitEstimator) priorWait(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.routes[route]
	if !ok {
		m = &majority{}
		a.routes[route] = m
	}
	m.vote(timeout)
	return max(0, m.timeout-timeout)
}

func (m *majority) vote(timeout time.Duration) {
	switch {
	case timeout == m.timeout:
		m.votes = min(m.votes+1, maxVotes)
	case m.votes == 0:
		m.timeout, m.votes = timeout, 1
	default:
		m.votes--
	}
}
