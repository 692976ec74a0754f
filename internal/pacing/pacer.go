// Package pacing spreads events evenly over time, at a rate that may change.
package pacing

import "time"

// burstTime is the time whose events may happen at once after a pause.
const burstTime = 250 * time.Millisecond

// Pacer admits events at a rate. The zero value admits all events. It has no clock and is not
// safe for concurrent use.
type Pacer struct {
	// rate is the number of events per second; 0 sets no limit.
	rate float64
	// next is the time from which an event keeps to the rate without any burst.
	next time.Time
}

// SetRate changes the number of events per second; 0 sets no limit. The next event is due when it
// was, but not later than one interval of the new rate from now. A limit that is new begins with
// a whole interval.
func (p *Pacer) SetRate(now time.Time, perSecond float64) {
	if perSecond == p.rate {
		return
	}
	p.rate = perSecond
	if perSecond > 0 && (p.next.Before(now) || p.next.After(now.Add(p.interval()))) {
		p.next = now.Add(p.interval())
	}
}

// Stagger moves the next event to a fraction of the interval between two events. Pacers that
// share a rate and start together do not all admit their first event at the same time.
func (p *Pacer) Stagger(now time.Time, fraction float64) {
	if p.Limited() {
		p.next = now.Add(time.Duration(fraction * float64(p.interval())))
	}
}

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool { return p.rate > 0 }

// Rate returns the number of events per second; 0 if there is no limit.
func (p *Pacer) Rate() float64 { return p.rate }

// Next returns the earliest time of the next event, which may have passed.
func (p *Pacer) Next() time.Time {
	if !p.Limited() {
		return time.Time{}
	}
	return p.next.Add(-p.tolerance())
}

// Ready reports whether an event may happen.
func (p *Pacer) Ready(now time.Time) bool { return !now.Before(p.Next()) }

// Available returns the number of events that may happen at once, at most a given number.
func (p *Pacer) Available(now time.Time, most int) int {
	if !p.Limited() || most <= 0 {
		return most
	}
	if !p.Ready(now) {
		return 0
	}
	ahead := max(p.next.Sub(now), 0)
	return min(most, 1+int((p.tolerance()-ahead)/p.interval()))
}

// Take records an event.
func (p *Pacer) Take(now time.Time) {
	if !p.Limited() {
		return
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.interval())
}

// interval is the time between two events at the rate.
func (p *Pacer) interval() time.Duration { return time.Duration(float64(time.Second) / p.rate) }

// tolerance is how much earlier than at the rate an event may happen after a pause.
func (p *Pacer) tolerance() time.Duration { return max(0, burstTime-p.interval()) }
