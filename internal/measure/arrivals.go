package measure

import (
	"math/rand/v2"
	"time"
)

// arrivals samples the arrival times of a Poisson process with the given rate per
// second, from 0 to length. Bursts multiply the rate, which is done by thinning a
// process with the peak rate.
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

// factorAt returns the factor by which bursts multiply the rate at a time, 1
// outside of bursts.
func factorAt(bursts []Burst, at time.Duration) float64 {
	factor := 1.0
	for _, b := range bursts {
		if at >= b.Start.D() && at < b.Start.D()+b.Duration.D() {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}
