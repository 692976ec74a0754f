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
	minProbeDelay  = 250 * time.Millisecond
	maxProbeDelay  = 2 * time.Second
)

// circuit is a circuit breaker for one kind of call.
type circuit struct {
	mu       sync.Mutex
	state    circuitState
	failures int
	// probeDelay is the wait before the next probe and due its time.
	probeDelay time.Duration
	probeDue   time.Time
}

// admission says whether a call may be made.
type admission int

const (
	rejected admission = iota
	allowed
	// probe allows the one call that finds out whether the service is back.
	probe
)

// admit decides about a call that is to be made now.
func (c *circuit) admit() admission {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == closed:
		return allowed
	case c.state == halfOpen || time.Now().Before(c.probeDue):
		return rejected
	default:
		c.state = halfOpen
		return probe
	}
}

// recordSuccess notes a success and reports whether it closed the circuit.
func (c *circuit) recordSuccess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.state != closed
	c.state = closed
	c.failures = 0
	c.probeDelay = 0
	return changed
}

// recordFailure notes a failure and reports whether it opened a closed circuit. Late
// failures of calls from before the circuit opened change nothing.
func (c *circuit) recordFailure() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.state == open || c.state == closed && c.failures < failuresToOpen {
		return false
	}
	changed := c.state == closed
	c.state = open
	c.probeDelay = min(maxProbeDelay, max(minProbeDelay, 2*c.probeDelay))
	c.probeDue = time.Now().Add(c.probeDelay)
	return changed
}

// releaseProbe returns an unused probe, so that the next call may be one.
func (c *circuit) releaseProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == halfOpen {
		c.state = open
	}
}

func (c *circuit) unavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != closed
}
