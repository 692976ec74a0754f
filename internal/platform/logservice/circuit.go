package logservice

import (
	"sync"
	"time"
)

// circuitState is the state of a circuit breaker.
type circuitState int

const (
	// closed lets all calls through.
	closed circuitState = iota
	// open refuses all calls until the probe is due.
	open
	// halfOpen lets one call through as a probe.
	halfOpen
)

const (
	// failuresToOpen is the number of consecutive failures that open a circuit.
	failuresToOpen = 3
	firstProbe     = 250 * time.Millisecond
	maxProbe       = 2 * time.Second
)

// circuit is a circuit breaker for one kind of call.
type circuit struct {
	mu       sync.Mutex
	state    circuitState
	failures int
	// probeAfter is the wait before the next probe and due its time.
	probeAfter time.Duration
	due        time.Time
}

// permit says whether a call may be made.
type permit int

const (
	refused permit = iota
	allowed
	// probe allows the one call that finds out whether the service is back.
	probe
)

// permit decides about a call that is to be made now.
func (c *circuit) permit() permit {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == closed:
		return allowed
	case c.state == halfOpen || time.Now().Before(c.due):
		return refused
	default:
		c.state = halfOpen
		return probe
	}
}

// succeed notes a success and reports whether it closed the circuit.
func (c *circuit) succeed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.state != closed
	c.state = closed
	c.failures = 0
	c.probeAfter = 0
	return changed
}

// fail notes a failure and reports whether it opened a closed circuit. Late
// failures of calls from before the circuit opened change nothing.
func (c *circuit) fail() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.state == open || c.state == closed && c.failures < failuresToOpen {
		return false
	}
	changed := c.state == closed
	c.state = open
	c.probeAfter = min(maxProbe, max(firstProbe, 2*c.probeAfter))
	c.due = time.Now().Add(c.probeAfter)
	return changed
}

// forgo returns an unused probe, so that the next call may be one.
func (c *circuit) forgo() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == halfOpen {
		c.state = open
	}
}

func (c *circuit) away() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != closed
}
