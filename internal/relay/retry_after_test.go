package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load of these tests, in requests per step: a burst of 1.7 times the normal load
// exceeds the capacity for four seconds.
const (
	burstStep         = 100 * time.Millisecond
	capacityPerStep   = 10
	normalLoadPerStep = 8
	burstLoadPerStep  = 14
	burstDuration     = 4 * time.Second
	burstSimDuration  = 12 * time.Second
)

// simulateBurst returns the share of requests that are refused on arrival, and the
// share that are refused again when they are retried once after the given delay.
// Retries are served before new requests.
func simulateBurst(retryAfter time.Duration) (refused, lost float64) {
	retriesAt := make(map[time.Duration]int)
	all := 0.0
	for now := time.Duration(0); now < burstSimDuration; now += burstStep {
		arriving := normalLoadPerStep
		if now < burstDuration {
			arriving = burstLoadPerStep
		}
		retries := retriesAt[now]
		rejected := max(0, arriving-max(0, capacityPerStep-retries))
		retriesAt[now+retryAfter] += rejected
		all += float64(arriving)
		refused += float64(rejected)
		lost += float64(max(0, retries-capacityPerStep))
	}
	return refused / all, lost / all
}

// A burst lasts longer than a second. Callers that retry during the burst take
// capacity from other requests or are refused again.
func TestRetryAfterOutlastsABurst(t *testing.T) {
	refused, lost := simulateBurst(minBusyRetryAfter)
	refusedSoon, lostSoon := simulateBurst(time.Second)
	assert.Assert(t, refused < refusedSoon, "%f against %f", refused, refusedSoon)
	assert.Assert(t, lost <= lostSoon, "%f against %f", lost, lostSoon)
	assert.Assert(t, minBusyRetryAfter < maxBusyRetryAfter)
}
