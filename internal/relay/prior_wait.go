package relay

import (
	"sync"
	"time"
)

// maxVotes bounds how long a former patience outlasts a change.
const maxVotes = 64

// waitEstimator estimates how long callers have waited in earlier attempts. A caller's
// first attempt states its whole patience, a repeat what is left of it. First
// attempts are the majority and state the same on one route, so that the
// majority's patience tells repeats apart.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]*majority
}

// majority finds the value of more than half of the votes.
type majority struct {
	timeout time.Duration
	votes   int
}

func newWaitEstimator() *waitEstimator { return &waitEstimator{routes: make(map[string]*majority)} }

// priorWait returns how long a request that states a patience has waited before.
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
