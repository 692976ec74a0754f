package scheduling

import "time"

// limitEngine puts a limit in force that a holder reported.
func (c *Coordinator) limitEngine(now time.Time, p Progress) {
	e, ok := c.pool.byName[p.Prefill]
	if !ok {
		return
	}
	e.Limit = 0
	if p.Limited {
		e.Limit = p.Limit
	}
	e.updateLimit(now)
}

// openCapacity returns the number of demands that a decode engine can be granted now.
func (c *Coordinator) openCapacity(now time.Time, e *engineInfo) int {
	return e.pacer.Available(now, c.freeCapacity(now, e))
}

// limitWait returns the time until the limits of the decode engines let a demand start behind a
// number of others. It is 0 if any engine that may serve the demand takes all requests.
func (c *Coordinator) limitWait(now time.Time, d *Demand, count int) time.Duration {
	rate, open := 0.0, 0
	var first time.Time
	for _, e := range c.pool.decode {
		if !e.usable() || !d.ofBuild(e) {
			continue
		}
		if !e.pacer.Limited() {
			return 0
		}
		rate += e.pacer.Rate()
		open += e.pacer.Available(now, count+1)
		if next := e.pacer.Next(); first.IsZero() || next.Before(first) {
			first = next
		}
	}
	if rate == 0 || open > count {
		return 0
	}
	return max(0, first.Sub(now)) + seconds(float64(count-open)/rate)
}
