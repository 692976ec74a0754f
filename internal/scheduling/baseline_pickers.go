package scheduling

import "math/rand/v2"

// roundRobin takes the engines in turn.
type roundRobin struct {
	next int
}

func (p *roundRobin) pick(candidates []*baselineEngine) *baselineEngine {
	p.next++
	return candidates[p.next%len(candidates)]
}

// leastLoad takes the engine with the least reported load. Engines that report
// the same load take turns.
type leastLoad struct {
	next int
}

func (p *leastLoad) pick(candidates []*baselineEngine) *baselineEngine {
	p.next++
	best := candidates[p.next%len(candidates)]
	for i := range candidates {
		e := candidates[(p.next+i)%len(candidates)]
		if e.reportedLoad() < best.reportedLoad() {
			best = e
		}
	}
	return best
}

// twoChoices takes the less loaded of two random engines. It adds the policy's
// own grants since the last report to the reported load.
type twoChoices struct {
	random *rand.Rand
}

func newTwoChoices(seed uint64) twoChoices {
	return twoChoices{random: rand.New(rand.NewPCG(seed, seed))}
}

func (p twoChoices) pick(candidates []*baselineEngine) *baselineEngine {
	x := candidates[p.random.IntN(len(candidates))]
	y := candidates[p.random.IntN(len(candidates))]
	if y.reportedLoad()+y.sent < x.reportedLoad()+x.sent {
		return y
	}
	return x
}
