package scheduling

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// workload is a load pattern and the pool that serves it.
type workload struct {
	name                 string
	prefills, decodes    int
	rate                 float64
	promptMin, promptMax int
	output               int
	targets              configuration.Targets
	weights              configuration.Weights
	// slowdown is the factor between the true prefill time and the model's
	// figure.
	slowdown float64
}

const (
	simSlots   = 20
	simLink    = 10_000_000_000
	messageLag = time.Millisecond
	simVMs     = 8
	// simDrain is longer than any demand waits.
	simDrain = 30 * time.Second
)

func (s workload) model() configuration.Model {
	return configuration.Model{
		Name:                    "m",
		PrefillTokensPerSecond:  s.rate,
		TokenInterval:           configuration.Duration(20 * time.Millisecond),
		TokenIntervalPerRequest: configuration.Duration(500 * time.Microsecond),
		KVBytesPerToken:         60_000,
		KVRetention:             configuration.Duration(800 * time.Millisecond),
	}
}

// capacity returns the requests per second that the pool can serve if neither
// prefill nor decode engines are ever idle.
func (s workload) capacity() float64 {
	model := s.model()
	prompt := float64(s.promptMin+s.promptMax) / 2
	prefill := float64(s.prefills) * s.rate / prompt / s.slowdown
	interval := model.TokenInterval.D() + (simSlots-1)*model.TokenIntervalPerRequest.D()
	slot := 0.75*float64(s.output)*interval.Seconds() + prompt*float64(model.KVBytesPerToken)/simLink
	return min(prefill, float64(s.decodes*simSlots)/slot)
}

func (s workload) states() []EngineState {
	var states []EngineState
	for i := range s.prefills {
		states = append(states, EngineState{Name: "p" + string(rune('A'+i)), Role: configuration.RolePrefill, LinkBytesPerSecond: simLink})
	}
	for i := range s.decodes {
		states = append(states, EngineState{Name: "d" + string(rune('A'+i)), Role: configuration.RoleDecode, Slots: simSlots, LinkBytesPerSecond: simLink})
	}
	return states
}

// simRequest is one request and its result.
type simRequest struct {
	demand          Demand
	arrival         time.Duration
	tokens          int
	left            float64
	held            Held
	prefillArrived  time.Duration
	prefillDone     time.Duration
	firstToken, end time.Duration
	refused, gone   bool
	cancelled       bool
	spent           int
	// caller is set in the contended pool.
	caller *caller
}

// simEngine models the rate of a prefill or decode engine.
type simEngine struct {
	linkFree      time.Duration
	prefilling    bool
	importing     int
	active, queue []*simRequest
	updated       time.Duration
	version       int
	// imported is the size of the answers that are being imported, in tokens.
	imported int
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// poolSim drives policies with one pool and seeded arrivals.
type poolSim struct {
	shape    workload
	model    configuration.Model
	now      time.Duration
	events   simHeap
	order    int
	policies []Policy
	engines  map[string]*simEngine
	requests []*simRequest
	// open are the requests that arrived and have not ended.
	open     []*simRequest
	byID     map[engine.AttemptID]*simRequest
	computed int
	maxHeld  int
	// contention is set if callers and engine memory are modelled.
	contention *contention
}

var simEpoch = time.Unix(1_700_000_000, 0)

func (s *poolSim) clock() time.Time { return simEpoch.Add(s.now) }

func (s *poolSim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{s.now + d, s.order, run})
}

// policyOf returns the policy instance of the request's VM.
func (s *poolSim) policyOf(r *simRequest) Policy {
	return s.policies[int(r.demand.ID.Request)%len(s.policies)]
}

// runPool simulates a policy at a load for a time and until all requests have
// ended.
func runPool(name string, sh workload, load float64, length time.Duration, seed uint64) *poolSim {
	s := &poolSim{shape: sh, model: sh.model(), engines: map[string]*simEngine{}, byID: map[engine.AttemptID]*simRequest{}}
	instances := simVMs
	if name == PolicyReservation {
		instances = 1
	}
	for i := range instances {
		p, err := NewPolicy(name, Settings{Model: s.model, Seed: seed + uint64(i)})
		if err != nil {
			panic(err)
		}
		p.SetEngines(s.clock(), sh.states())
		s.policies = append(s.policies, p)
	}
	for _, state := range sh.states() {
		s.engines[state.Name] = &simEngine{}
	}
	s.arrivals(load*sh.capacity(), length, rand.New(rand.NewPCG(seed, 7)))
	s.every(200*time.Millisecond, length, s.report)
	if name == PolicyReservation {
		s.every(250*time.Millisecond, length, s.renew)
		s.every(retryInterval, length, s.tick)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *poolSim) every(period, length time.Duration, run func()) {
	s.after(period, func() {
		run()
		if s.now < length+simDrain {
			s.every(period, length, run)
		}
	})
}

func (s *poolSim) arrivals(rate float64, length time.Duration, random *rand.Rand) {
	n := uint64(0)
	for at := time.Duration(0); at < length; at += seconds(random.ExpFloat64() / rate) {
		n++
		r := &simRequest{arrival: at, tokens: s.shape.output/2 + random.IntN(s.shape.output/2+1)}
		r.demand = Demand{
			ID:   engine.AttemptID{VM: "vm", Incarnation: 1, Request: n, Attempt: 1},
			Team: "t", Class: "c", Order: configuration.OrderFirstCome, QueueLimit: 100_000,
			PromptTokens: s.shape.promptMin + random.IntN(s.shape.promptMax-s.shape.promptMin+1),
			OutputTokens: s.shape.output, Targets: s.shape.targets, Weights: s.shape.weights,
		}
		s.requests = append(s.requests, r)
		s.after(at+messageLag, func() { s.submit(r) })
		s.after(at+2*s.shape.targets.FirstToken.D(), func() { s.giveUp(r) })
	}
}

func (s *poolSim) submit(r *simRequest) {
	if r.gone {
		return
	}
	if r.demand.ID.Attempt == 1 {
		s.open = append(s.open, r)
	}
	r.demand.Waited = s.now - r.arrival
	s.byID[r.demand.ID] = r
	s.decided(s.policyOf(r).Submit(s.clock(), r.demand))
}

func (s *poolSim) decided(o Outcome) {
	if s.contention != nil {
		s.contendedOutcome(o)
		return
	}
	r := s.byID[o.ID]
	if o.Refusal != nil {
		r.refused = true
	}
	if o.Grant != nil {
		grant := *o.Grant
		r.held = Held{ID: o.ID, Prefill: grant.Prefill, Decode: grant.Decode}
		s.after(messageLag, func() { s.prefill(r) })
	}
}

func (s *poolSim) tick() {
	for _, p := range s.policies {
		for _, o := range p.Tick(s.clock()) {
			s.decided(o)
		}
	}
}

// renew sends the heartbeat of all holders.
func (s *poolSim) renew() {
	var held []Held
	s.open = slices.DeleteFunc(s.open, func(r *simRequest) bool { return r.end > 0 || r.refused || r.gone && r.held.ID.VM == "" })
	for _, r := range s.open {
		if r.held.ID.VM != "" && (s.contention == nil || !s.contention.frozen(s.now, r)) {
			held = append(held, r.held)
		}
	}
	for _, p := range s.policies {
		p.Renew(s.clock(), "vm", 1, held)
	}
}

// report sends load reports that are one period old.
func (s *poolSim) report() {
	states := s.shape.states()
	if s.contention != nil {
		states = contendedStates(0)
	}
	for _, state := range states {
		name, e := state.Name, s.engines[state.Name]
		report := engine.LoadReport{Slots: simSlots, Active: len(e.active) + e.importing, Queued: len(e.queue)}
		if e.prefilling {
			report.Active++
		}
		s.after(200*time.Millisecond, func() {
			for _, p := range s.policies {
				p.ObserveLoad(s.clock(), name, report)
			}
		})
	}
}

func (s *poolSim) progress(r *simRequest, kind ProgressKind, tokens int, elapsed time.Duration) {
	p := Progress{ID: r.demand.ID, Kind: kind, Prefill: r.held.Prefill, Decode: r.held.Decode, Tokens: tokens, Elapsed: elapsed}
	s.after(messageLag, func() { s.policyOf(r).Progress(s.clock(), p) })
}

func (s *poolSim) prefill(r *simRequest) {
	e := s.engines[r.held.Prefill]
	r.prefillArrived = s.now
	e.queue = append(e.queue, r)
	s.nextPrefill(e)
}

// nextPrefill starts the first queued prefill whose caller has not left. Queued
// calls of callers that left are cancelled.
func (s *poolSim) nextPrefill(e *simEngine) {
	for !e.prefilling && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if r.gone {
			s.release(r, 0)
			continue
		}
		e.prefilling = true
		s.computed += r.demand.PromptTokens
		r.spent += r.demand.PromptTokens
		work := seconds(float64(r.demand.PromptTokens) / s.shape.rate * s.shape.slowdown)
		s.after(work, func() { s.prefillEnds(e, r) })
	}
}

func (s *poolSim) prefillEnds(e *simEngine, r *simRequest) {
	e.prefilling = false
	r.prefillDone = s.now
	r.held.Phase = PhaseTransfer
	s.progress(r, PrefillDone, r.demand.PromptTokens, s.now-r.prefillArrived)
	if s.contention != nil {
		s.decodeContended(r)
	} else {
		s.decodeArrives(r)
	}
	s.nextPrefill(e)
}

func (s *poolSim) decodeArrives(r *simRequest) {
	if r.gone {
		s.release(r, 0)
		return
	}
	e := s.engines[r.held.Decode]
	attempt := r.demand.ID.Attempt
	e.queue = append(e.queue, r)
	s.startImports(e)
	s.after(s.model.KVRetention.D(), func() { s.evict(e, r, attempt) })
}

// startImports assigns free slots to queued requests and transfers their KV
// cache over the link.
func (s *poolSim) startImports(e *simEngine) {
	for len(e.queue) > 0 && len(e.active)+e.importing < simSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.importing++
		size := seconds(float64(r.demand.PromptTokens) * float64(s.model.KVBytesPerToken) / simLink)
		e.linkFree = max(e.linkFree, s.now) + size
		s.after(e.linkFree-s.now, func() { s.imported(e, r) })
	}
	s.maxHeld = max(s.maxHeld, len(e.active)+e.importing+len(e.queue))
}

func (s *poolSim) imported(e *simEngine, r *simRequest) {
	e.importing--
	if r.gone || s.now-r.prefillDone > s.model.KVRetention.D() {
		s.retry(r)
		s.startImports(e)
		return
	}
	s.advance(e)
	r.left = float64(r.tokens)
	e.active = append(e.active, r)
	s.schedule(e)
	s.after(s.interval(e), func() {
		r.firstToken = s.now
		r.held.Phase = PhaseDecode
		s.progress(r, FirstTokenSeen, 1, s.now-r.prefillDone)
	})
}

// evict removes a queued request whose KV cache was evicted.
func (s *poolSim) evict(e *simEngine, r *simRequest, attempt uint32) {
	i := slices.Index(e.queue, r)
	if i < 0 || r.demand.ID.Attempt != attempt {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	s.retry(r)
}

// retry retries a request whose prefill was lost, at most twice.
func (s *poolSim) retry(r *simRequest) {
	s.release(r, 0)
	if r.gone || r.demand.ID.Attempt == 3 {
		r.gone = true
		return
	}
	r.demand.ID.Attempt++
	s.after(messageLag, func() { s.submit(r) })
}

func (s *poolSim) release(r *simRequest, tokens int) {
	s.progress(r, Released, tokens, 0)
	r.held = Held{}
}

// giveUp simulates a caller that leaves before the first token.
func (s *poolSim) giveUp(r *simRequest) {
	if r.firstToken > 0 || r.refused || r.gone {
		return
	}
	r.gone = true
	r.cancelled = true
	if r.held.ID.VM == "" {
		s.policyOf(r).Cancel(s.clock(), r.demand.ID)
	}
}

func (s *poolSim) interval(e *simEngine) time.Duration {
	return s.model.TokenInterval.D() + time.Duration(max(0, len(e.active)-1))*s.model.TokenIntervalPerRequest.D()
}

// advance applies the time since the last update to all active requests.
func (s *poolSim) advance(e *simEngine) {
	steps := float64(s.now-e.updated) / float64(s.interval(e))
	for _, r := range e.active {
		r.left -= steps
	}
	e.updated = s.now
}

// schedule schedules the next end of a decode.
func (s *poolSim) schedule(e *simEngine) {
	e.version++
	version := e.version
	if len(e.active) == 0 {
		return
	}
	next := slices.MinFunc(e.active, func(x, y *simRequest) int {
		if x.left < y.left {
			return -1
		}
		return 1
	})
	wait := max(0, time.Duration(next.left*float64(s.interval(e))))
	s.after(wait, func() {
		if e.version != version {
			return
		}
		s.advance(e)
		e.active = slices.DeleteFunc(e.active, func(r *simRequest) bool { return r == next })
		next.end = s.now
		s.release(next, next.tokens)
		if s.contention == nil {
			s.startImports(e)
		}
		s.schedule(e)
	})
}
