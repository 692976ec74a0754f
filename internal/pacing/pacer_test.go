package pacing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// offer offers an event each millisecond and returns the times of those admitted.
func offer(p *Pacer, from, to time.Duration) []time.Duration {
	var admitted []time.Duration
	for at := from; at < to; at += time.Millisecond {
		if now := start.Add(at); p.Ready(now) {
			p.Take(now)
			admitted = append(admitted, at)
		}
	}
	return admitted
}

// In any time, no more events may be admitted than the rate allows, plus those of burstTime.
func TestEventsKeepToTheRate(t *testing.T) {
	for _, rate := range []float64{0.25, 1, 4.3, 30, 200} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			var p Pacer
			p.SetRate(start, rate)
			admitted := offer(&p, 0, 40*time.Second)
			admitted = append(admitted, offer(&p, 60*time.Second, 70*time.Second)...)
			for i, first := range admitted {
				for n, later := range admitted[i:] {
					most := rate*(later-first).Seconds() + rate*burstTime.Seconds() + 1
					if float64(n+1) > most+1e-6 {
						t.Fatalf("%d events from %v to %v", n+1, first, later)
					}
				}
			}
			assert.Assert(t, float64(len(admitted)) >= 0.95*rate*50-1, "%d", len(admitted))
		})
	}
}

// A change of the rate must allow neither an extra burst nor a pause of the former interval.
func TestChangedRateHoldsAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var p Pacer
	for n := range 300 {
		now := start.Add(time.Duration(n) * time.Second)
		rate := 0.5 + 10*random.Float64()
		p.SetRate(now, rate)
		from := time.Duration(n) * time.Second
		admitted := len(offer(&p, from, from+time.Second))
		assert.Assert(t, float64(admitted) <= rate*(1+burstTime.Seconds())+1, "%d at %v", admitted, rate)
		assert.Assert(t, float64(admitted) >= rate*0.9-1, "%d at %v", admitted, rate)
	}
	p.SetRate(start.Add(time.Hour), 0)
	assert.Equal(t, len(offer(&p, time.Hour, time.Hour+time.Second)), 1000, "no limit")
}

func TestAvailableEventsCanBeTaken(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 16, 90} {
		var p Pacer
		p.SetRate(start, rate)
		for ms := range 4000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			taken, available := 0, p.Available(now, 1000)
			for p.Ready(now) {
				p.Take(now)
				taken++
			}
			assert.Equal(t, taken, available, "at %d ms and rate %v", ms, rate)
		}
	}
	assert.Equal(t, new(Pacer).Available(start, 7), 7)
}
