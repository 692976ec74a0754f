package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load of these tests, in requests per step: a burst of 1.7 times the usual load
// exceeds the capacity for four seconds, as on the users' days.
const (
	adviceStep     = 100 * time.Millisecond
	adviceCapacity = 10
	adviceUsual    = 8
	adviceBurst    = 14
	adviceBurstEnd = 4 * time.Second
	adviceSpan     = 12 * time.Second
)

// playBurst returns the parts of all requests that are refused at their arrival, and
// that find no place when they come back, once, after a time. Those come first.
func playBurst(retryAfter time.Duration) (refused, lost float64) {
	returning := make(map[time.Duration]int)
	all := 0.0
	for now := time.Duration(0); now < adviceSpan; now += adviceStep {
		arriving := adviceUsual
		if now < adviceBurstEnd {
			arriving = adviceBurst
		}
		back := returning[now]
		turnedAway := max(0, arriving-max(0, adviceCapacity-back))
		returning[now+retryAfter] += turnedAway
		all += float64(arriving)
		refused += float64(turnedAway)
		lost += float64(max(0, back-adviceCapacity))
	}
	return refused / all, lost / all
}

// Pattern: a burst that lasts longer than a second. Callers who come back while it
// lasts take the places of others or are refused for good.
func TestCallersComeBackAfterABurst(t *testing.T) {
	refused, lost := playBurst(leastBusyRetryAfter)
	refusedSoon, lostSoon := playBurst(time.Second)
	assert.Assert(t, refused < refusedSoon, "%f against %f", refused, refusedSoon)
	assert.Assert(t, lost <= lostSoon, "%f against %f", lost, lostSoon)
	assert.Assert(t, leastBusyRetryAfter < mostBusyRetryAfter)
}
