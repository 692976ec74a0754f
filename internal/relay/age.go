package relay

import (
	"sync"
	"time"
)

// maxVotes bounds how long a former patience outlasts a change.
const maxVotes = 64

// ages estimates how long callers have waited in earlier attempts. A caller's
// first attempt states its whole patience, a repeat what is left of it. First
// attempts are the majority and state the same on one route, so that the
// majority's patience tells repeats apart.
type ages struct {
	mu     sync.Mutex
	routes map[string]*majority
}

// majority finds the value of more than half of the votes.
type majority struct {
	patience time.Duration
	votes    int
}

func newAges() *ages { return &ages{routes: make(map[string]*majority)} }

// of returns how long a request that states a patience has waited before.
func (a *ages) of(route string, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.routes[route]
	if !ok {
		m = &majority{}
		a.routes[route] = m
	}
	m.vote(patience)
	return max(0, m.patience-patience)
}

func (m *majority) vote(patience time.Duration) {
	switch {
	case patience == m.patience:
		m.votes = min(m.votes+1, maxVotes)
	case m.votes == 0:
		m.patience, m.votes = patience, 1
	default:
		m.votes--
	}
}
