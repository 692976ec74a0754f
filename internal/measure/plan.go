package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// plannedRequest is one request whose send time is fixed before the run.
type plannedRequest struct {
	*offeredClass
	// at is the intended send time since the start of the run.
	at time.Duration
	// vm is the index of the entry VM to which the request is sent.
	vm int
	// prompt is the prompt of a model-backed request.
	prompt string
	// number identifies the request; a repeat has the number of its original.
	// key is the idempotency key, empty for none.
	number int
	key    string
	// disconnectAfter is the time from sending until the caller disconnects; 0
	// means that it does not.
	disconnectAfter time.Duration
	// repeat marks a request that uses the key of an earlier one.
	repeat bool
}

// attempt returns how often the key has been sent, including this request; 0
// without a key.
func (r *plannedRequest) attempt() int {
	switch {
	case r.key == "":
		return 0
	case r.repeat:
		return 2
	default:
		return 1
	}
}

// planner generates the random requests of a run.
type planner struct {
	load    *Load
	classes []offeredClass
	random  *rand.Rand
	vms     int
	prompts promptGenerator
}

func newPlanner(load *Load, classes []offeredClass, vms int, seed uint64) *planner {
	return &planner{
		load:    load,
		classes: classes,
		random:  rand.New(rand.NewPCG(seed, seed)),
		vms:     vms,
		prompts: promptGenerator{seed: seed},
	}
}

// plan generates all requests of a run, ordered by their send times. Arrivals are
// a Poisson process of rate requests per second, raised during bursts. The keys
// contain the send times, which count from start.
func (p *planner) plan(start time.Time, rate float64, length time.Duration) []plannedRequest {
	var all []plannedRequest
	for _, at := range arrivals(p.random, rate, length, p.load.Bursts) {
		first := p.draw(start, at, len(all))
		all = append(all, first)
		if repeat, ok := p.drawRepeat(&first, length); ok {
			all = append(all, repeat)
		}
	}
	slices.SortStableFunc(all, func(a, b plannedRequest) int { return int(a.at - b.at) })
	return all
}

// draw generates the request that arrives at a time.
func (p *planner) draw(start time.Time, at time.Duration, number int) plannedRequest {
	c := p.drawClass()
	r := plannedRequest{offeredClass: c, at: at, vm: p.random.IntN(p.vms), number: number}
	if c.class.ModelBacked() {
		span := max(c.PromptTokens.Max-c.PromptTokens.Min, 0) + 1
		r.prompt = p.prompts.prompt(c, number, c.PromptTokens.Min+p.random.IntN(span))
	}
	if c.class.Key == configuration.KeyRequired || c.Keyed && c.class.Key != configuration.KeyNone {
		r.key = p.drawKey(start.Add(at))
	}
	if p.random.Float64() < p.load.GoneShare {
		r.disconnectAfter = 1 + p.drawDuration(p.load.GoneWithin.D())
	}
	return r
}

func (p *planner) drawClass() *offeredClass {
	remaining := p.random.Float64()
	for i := range p.classes {
		remaining -= p.classes[i].weight
		if remaining < 0 {
			return &p.classes[i]
		}
	}
	return &p.classes[len(p.classes)-1]
}

// drawKey generates a UUIDv7 with a timestamp. The keys of two runs with the same
// seed differ only in their timestamps.
func (p *planner) drawKey(at time.Time) string {
	var id uuid.UUID
	millis := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(p.random.Uint32())
	}
	const version, variant = 0x70, 0x80
	id[6] = id[6]&0x0f | version
	id[8] = id[8]&0x3f | variant
	return id.String()
}

// drawRepeat decides at random whether a request is repeated and returns the
// repeat. It goes to another VM if there is one.
func (p *planner) drawRepeat(first *plannedRequest, length time.Duration) (plannedRequest, bool) {
	if first.key == "" || p.random.Float64() >= p.load.RepeatShare {
		return plannedRequest{}, false
	}
	second := *first
	second.repeat = true
	second.disconnectAfter = 0
	second.at = min(first.at+p.drawDuration(p.load.RepeatWithin.D()), length)
	if p.vms > 1 {
		second.vm = (first.vm + 1 + p.random.IntN(p.vms-1)) % p.vms
	}
	return second, true
}

func (p *planner) drawDuration(limit time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(limit))
}
