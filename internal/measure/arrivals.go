package measure

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the times of a Poisson process of rate per second over a time,
// with a rate raised during bursts (by thinning a process of the highest rate).
func arrivals(random *rand.Rand, rate float64, length time.Duration, bursts []Burst) []time.Duration {
	peak := 1.0
	for _, b := range bursts {
		peak = max(peak, b.Factor)
	}
	var times []time.Duration
	if rate <= 0 {
		return times
	}
	for at := 0.0; ; {
		at += random.ExpFloat64() / (rate * peak)
		t := time.Duration(at * float64(time.Second))
		if t >= length {
			return times
		}
		if random.Float64() < factorAt(bursts, t)/peak {
			times = append(times, t)
		}
	}
}

// factorAt returns the factor of the rate at a time.
func factorAt(bursts []Burst, at time.Duration) float64 {
	factor := 1.0
	for _, b := range bursts {
		if at >= b.Start.D() && at < b.Start.D()+b.Duration.D() {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}
