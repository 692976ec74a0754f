package logservice

import (
	"sync"
	"time"
)

// circuitState is the state of a circuit breaker.
type circuitState int

const (
	// closed admits all calls.
	closed circuitState = iota
	// open rejects all calls until the next probe is due.
	open
	// halfOpen has admitted one call as a probe and rejects all others.
	halfOpen
)

const (
	// failuresToOpen is the number of consecutive failures that open a circuit.
	failuresToOpen = 3
	// minProbeDelay and maxProbeDelay bound the delay before a probe, which doubles
	// after each failed one.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 2 * time.Second
)

// circuit is a circuit breaker for one kind of call.
type circuit struct {
	mu       sync.Mutex
	state    circuitState
	failures int
	// probeDelay is the delay before the next probe; probeDue is the time of that
	// probe.
	probeDelay time.Duration
	probeDue   time.Time
}

// admission is the decision of a circuit about a call.
type admission int

const (
	rejected admission = iota
	allowed
	// probe admits a single call that tests whether the service is available.
	probe
)

// admit decides whether a call may be made now.
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

// recordSuccess records a successful call and reports whether it closed the circuit.
func (c *circuit) recordSuccess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.state != closed
	c.state = closed
	c.failures = 0
	c.probeDelay = 0
	return changed
}

// recordFailure records a failed call and reports whether it opened a closed
// circuit. Failures of calls that were admitted before the circuit opened do not
// change an open circuit.
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

// releaseProbe reopens the circuit after a probe without a result, so that the next
// call can become the probe.
func (c *circuit) releaseProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == halfOpen {
		c.state = open
	}
}

// unavailable reports whether the circuit is open or half-open.
func (c *circuit) unavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != closed
}
