package scheduling

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// The load of docs/design/hard-load.md, part 3, scaled to one zone.
const (
	contendedPrefills = 5
	contendedDecodes  = 25
	contendedSlots    = 12
	contendedMemory   = 28_348
	contendedTeams    = 16
	contendedLength   = 60 * time.Second
	// contendedCapacity is the rate of requests per second at which a calibration with
	// saturated queues served requests.
	contendedCapacity = 21.5
	contendedDeadline = 14 * time.Second
	// hurriedPause is after how long an impatient caller comes back, whatever it was given.
	hurriedPause = 500 * time.Millisecond
)

// simKind is a kind of streams.
type simKind struct {
	name      string
	objective time.Duration
	priority  int
}

var (
	urgentKind  = &simKind{"urgent", 800 * time.Millisecond, 0}
	routineKind = &simKind{"routine", 2000 * time.Millisecond, -1}
)

func (k *simKind) eventTimeout() time.Duration { return max(2*time.Second, 4*k.objective) }

// caller is a caller of the contended pool over its attempts.
type caller struct {
	kind    *simKind
	team    int
	prompt  int
	output  int
	hurried bool
	first   time.Duration
	// returned is set on the second attempt, due is the time it was given.
	returned      bool
	due           time.Duration
	relaxed, late bool
	refused, lost bool
	served        time.Duration
	current       *simRequest
}

// contention is the part of a poolSim that models callers, teams and engine memory.
type contention struct {
	name  string
	teams bool
	load  func(at time.Duration, kind *simKind, team int) float64
	lost  func(at time.Duration) int
	// freeze is set if an eighth of the VMs do not renew what they hold for 3 s.
	freeze  bool
	callers []*caller
	nextID  uint64
	// declines, preempted and wasted count declined decodes, preempted answers and the
	// prompt tokens whose prefill was wasted.
	declines, preempted, wasted int
	// overtaken counts grants of routine requests while an urgent one waited.
	overtaken int
}

// frozen reports whether the VM of a request renews nothing.
func (k *contention) frozen(at time.Duration, r *simRequest) bool {
	return k.freeze && at >= 15*time.Second && at < 18*time.Second && r.demand.ID.Request%8 == 0
}

func contendedShape() workload {
	return workload{
		name: "contended", prefills: contendedPrefills, decodes: contendedDecodes, rate: 25_000, slowdown: 1,
		weights: configuration.Weights{WastedPrefill: 1},
	}
}

func contendedModel() configuration.Model {
	return configuration.Model{
		Name: "m", PrefillTokensPerSecond: 25_000, PrefillLatency: configuration.Duration(80 * time.Millisecond),
		TokenInterval: configuration.Duration(30 * time.Millisecond), TokenIntervalPerRequest: configuration.Duration(time.Millisecond),
		KVBytesPerToken: 60_000, KVRetention: configuration.Duration(800 * time.Millisecond),
	}
}

// contendedStates returns the engines of which a number is lost.
func contendedStates(lost int) []EngineState {
	var states []EngineState
	for i := range contendedPrefills + contendedDecodes {
		s := EngineState{
			Name: fmt.Sprintf("e%02d", i), Role: configuration.RoleDecode, Slots: contendedSlots,
			Pieces: contendedMemory, PieceTokens: 1, LinkBytesPerSecond: simLink,
		}
		if i%6 == 0 {
			s.Role = configuration.RolePrefill
		}
		if i%3 == 1 && i/3 < lost {
			continue
		}
		states = append(states, s)
	}
	return states
}

// teamPart returns the part of a team in the load; the first three are large.
func teamPart(team int) float64 {
	if team < 3 {
		return 0.2
	}
	return 0.4 / (contendedTeams - 3)
}

// runContended simulates the contended pool.
func runContended(k *contention, seed uint64) *poolSim {
	s := &poolSim{shape: contendedShape(), model: contendedModel(), engines: map[string]*simEngine{}, byID: map[engine.AttemptID]*simRequest{}, contention: k}
	c := NewCoordinator(Settings{Model: s.model, Options: Options{MemoryOverTime: true, SelfPrefill: true}})
	c.SetEngines(s.clock(), contendedStates(0))
	s.policies = []Policy{c}
	for _, state := range contendedStates(0) {
		s.engines[state.Name] = &simEngine{}
	}
	random := rand.New(rand.NewPCG(seed, 7))
	for _, kind := range []*simKind{urgentKind, routineKind} {
		part := 0.09
		if kind == routineKind {
			part = 0.91
		}
		for team := range contendedTeams {
			s.contendedArrivals(kind, team, contendedCapacity*part*teamPart(team), random)
		}
	}
	s.every(200*time.Millisecond, contendedLength, s.report)
	s.every(250*time.Millisecond, contendedLength, s.renew)
	s.every(retryInterval, contendedLength, s.tick)
	if k.lost != nil {
		s.every(250*time.Millisecond, contendedLength, func() { s.loseEngines(k.lost(s.now)) })
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// contendedArrivals draws the callers of one kind and team as a Poisson process of variable
// rate.
func (s *poolSim) contendedArrivals(kind *simKind, team int, rate float64, random *rand.Rand) {
	const most = 16
	for at := time.Duration(0); at < contendedLength; at += seconds(random.ExpFloat64() / (rate * most)) {
		if random.Float64()*most > s.contention.load(at, kind, team) {
			continue
		}
		u := random.Float64()
		c := &caller{
			kind: kind, team: team, first: at, hurried: random.IntN(10) == 0,
			prompt: 2900 + int(3600*u*u*u*u), output: max(20, int(200*math.Exp(0.4*random.NormFloat64()))),
		}
		s.contention.callers = append(s.contention.callers, c)
		s.after(at+messageLag, func() { s.arrive(c) })
	}
}

// arrive begins an attempt of a caller.
func (s *poolSim) arrive(c *caller) {
	r := &simRequest{arrival: s.now, caller: c, tokens: c.output}
	c.current = r
	c.relaxed = false
	c.late = c.returned && s.now-c.first >= c.kind.objective-20*time.Millisecond
	s.open = append(s.open, r)
	timeout := min(c.kind.eventTimeout(), contendedDeadline-(s.now-c.first))
	s.after(timeout, func() { s.leave(r) })
	s.ask(r)
}

// ask submits the demand that the relay makes of a request, see relay.demand.
func (s *poolSim) ask(r *simRequest) {
	c := r.caller
	if r.gone {
		return
	}
	s.contention.nextID++
	prior := time.Duration(0)
	if c.returned {
		prior = r.arrival - c.first
	}
	target := c.kind.objective - prior - 20*time.Millisecond
	switch {
	case c.late:
		target = c.kind.eventTimeout() - 300*time.Millisecond
	case !c.relaxed:
		target = seconds(0.6 * target.Seconds())
	}
	exclude := r.demand.Exclude
	r.demand = Demand{
		ID:    engine.AttemptID{VM: "vm", Incarnation: 1, Request: s.contention.nextID, Attempt: 1},
		Class: c.kind.name, Priority: c.kind.priority, Order: configuration.OrderAny,
		PromptTokens: c.prompt, OutputTokens: 250, Weights: s.shape.weights,
		Targets: configuration.Targets{FirstToken: configuration.Duration(target)},
		Waited:  s.now - r.arrival, Exclude: exclude,
	}
	if s.contention.teams {
		r.demand.Team, r.demand.Share = fmt.Sprintf("team%02d", c.team), 1e6*teamPart(c.team)
		r.demand.Strict, r.demand.Urgency = true, c.kind.priority
		r.demand.PriorWait, r.demand.RetryWithin = prior, (contendedDeadline-(s.now-c.first))/3
	}
	if c.late {
		r.demand.Class, r.demand.Priority = c.kind.name+"/late", BackgroundPriority-1
		if c.returned {
			r.demand.Class, r.demand.Priority = c.kind.name+"/returned", BackgroundPriority
		}
	}
	s.byID[r.demand.ID] = r
	s.decided(s.policyOf(r).Submit(s.clock(), r.demand))
}

// contendedOutcome processes a decision on a demand of the contended pool.
func (s *poolSim) contendedOutcome(o Outcome) {
	r := s.byID[o.ID]
	c := r.caller
	if o.Grant != nil {
		s.countOvertaken(r)
		r.held = Held{ID: o.ID, Prefill: o.Grant.Prefill, Decode: o.Grant.Decode}
		s.after(messageLag, func() { s.startGranted(r) })
		return
	}
	if o.Refusal == nil || r.gone {
		return
	}
	if o.Refusal.Reason == RefusedTarget && !c.late {
		c.late = c.relaxed
		c.relaxed = true
		s.after(0, func() { s.ask(r) })
		return
	}
	r.refused = true
	s.turnAway(c, o.Refusal.RetryAfter)
}

// turnAway refuses a caller, who comes back once.
func (s *poolSim) turnAway(c *caller, after time.Duration) {
	if c.returned {
		c.lost = true
		return
	}
	c.refused, c.returned = true, true
	told := after
	if !s.contention.teams {
		told = min(max(after, 3*time.Second), 4*time.Second)
	}
	c.due = s.now + told
	pause := min(told, (contendedDeadline-(s.now-c.first))/3)
	if c.hurried {
		pause = hurriedPause
	}
	s.after(pause, func() { s.arrive(c) })
}

// countOvertaken counts a grant of a routine request while an urgent one waits that has
// not been excluded from any engine.
func (s *poolSim) countOvertaken(r *simRequest) {
	if r.caller.kind == urgentKind {
		return
	}
	for _, w := range s.policies[0].(*Coordinator).queue.byID {
		if other := s.byID[w.demand.ID]; other.caller.kind == urgentKind && len(w.demand.Exclude) == 0 {
			s.contention.overtaken++
			return
		}
	}
}

// leave ends an attempt whose caller got no first event in time.
func (s *poolSim) leave(r *simRequest) {
	if r.firstToken > 0 || r.refused || r.gone {
		return
	}
	r.gone = true
	r.caller.lost = true
	if r.held.ID.VM == "" {
		s.policyOf(r).Cancel(s.clock(), r.demand.ID)
		return
	}
	s.contention.wasted += r.spent
}

// startGranted starts the prefill, on the decode engine itself if the grant names it.
func (s *poolSim) startGranted(r *simRequest) {
	if r.held.Prefill != r.held.Decode {
		s.prefill(r)
		return
	}
	e := s.engines[r.held.Decode]
	if r.gone {
		s.release(r, 0)
		return
	}
	if !s.hasMemory(e, r) {
		s.decline(r)
		return
	}
	e.importing++
	r.spent += r.demand.PromptTokens
	s.computed += r.demand.PromptTokens
	s.after(seconds(2*float64(r.demand.PromptTokens)/s.shape.rate), func() { s.begin(e, r) })
}

// hasMemory reports whether an engine has a slot and the memory to begin an answer.
func (s *poolSim) hasMemory(e *simEngine, r *simRequest) bool {
	return len(e.active)+e.importing < contendedSlots && s.memoryUsed(e)+r.caller.prompt <= contendedMemory
}

// memoryUsed returns the tokens that an engine holds.
func (s *poolSim) memoryUsed(e *simEngine) int {
	s.advance(e)
	used := e.imported
	for _, r := range e.active {
		used += r.caller.prompt + r.tokens - int(r.left)
	}
	return used
}

// decodeContended hands a prefilled prompt to its decode engine, which declines it if its
// memory is taken.
func (s *poolSim) decodeContended(r *simRequest) {
	e := s.engines[r.held.Decode]
	if r.gone {
		s.release(r, 0)
		return
	}
	if !s.hasMemory(e, r) {
		s.contention.wasted += r.demand.PromptTokens
		s.decline(r)
		return
	}
	e.importing++
	e.imported += r.caller.prompt
	size := seconds(float64(r.demand.PromptTokens) * float64(s.model.KVBytesPerToken) / simLink)
	e.linkFree = max(e.linkFree, s.now) + size
	s.after(e.linkFree-s.now, func() {
		e.imported -= r.caller.prompt
		s.begin(e, r)
	})
}

// decline reports that an engine took no answer, and asks for others.
func (s *poolSim) decline(r *simRequest) {
	s.contention.declines++
	s.progress(r, DecodeFailed, 0, 0)
	r.demand.Exclude = append(slices.Clone(r.demand.Exclude), r.held.Decode)
	s.release(r, 0)
	s.after(2*messageLag, func() { s.ask(r) })
}

// begin starts an answer.
func (s *poolSim) begin(e *simEngine, r *simRequest) {
	e.importing--
	if r.gone {
		s.release(r, 0)
		return
	}
	s.advance(e)
	r.left = float64(r.tokens)
	e.active = append(e.active, r)
	s.preempt(e)
	s.schedule(e)
	done := r.prefillDone
	s.after(s.interval(e), func() {
		if r.gone {
			return
		}
		r.firstToken, r.caller.served = s.now, s.now
		r.held.Phase = PhaseDecode
		s.progress(r, FirstTokenSeen, 1, s.now-done)
	})
}

// preempt counts the answers that an engine must interrupt for lack of memory. They go on at
// once, since the simulation measures only how often it happens.
func (s *poolSim) preempt(e *simEngine) {
	if s.memoryUsed(e) > contendedMemory {
		s.contention.preempted++
	}
}

// loseEngines removes engines from the pool. What runs on them ends.
func (s *poolSim) loseEngines(lost int) {
	s.policies[0].SetEngines(s.clock(), contendedStates(lost))
}

// contendedResult summarizes one run of the contended pool.
type contendedResult struct {
	offered, inTime, served, refused, again map[*simKind]float64
	// worstTeam is the lowest share of routine requests of one team that were in time among
	// the teams that kept to their usual load.
	worstTeam float64
	// largeRatio is the share served of the largest fifth of the requests, relative to all.
	largeRatio float64
	wasted     float64
	// patientLost and hurriedLost are the shares of returned callers that got nothing, by
	// whether they waited as asked.
	patientLost, hurriedLost float64
	value                    float64
}

func (s *poolSim) contendedResult(loudTeam int) contendedResult {
	res := contendedResult{
		offered: map[*simKind]float64{}, inTime: map[*simKind]float64{}, served: map[*simKind]float64{},
		refused: map[*simKind]float64{}, again: map[*simKind]float64{}, worstTeam: 1,
	}
	var teamOffered, teamInTime [contendedTeams]float64
	var large, largeServed, patient, hurried, all float64
	sizes := make([]int, 0, len(s.contention.callers))
	for _, c := range s.contention.callers {
		sizes = append(sizes, c.prompt)
	}
	slices.Sort(sizes)
	fifth := sizes[len(sizes)*4/5]
	for _, c := range s.contention.callers {
		weight := 1.0
		if c.kind == urgentKind {
			weight = 4
		}
		res.offered[c.kind]++
		all += weight
		inTime := c.served > 0 && c.served-c.first <= c.kind.objective
		if c.kind == routineKind {
			teamOffered[c.team]++
		}
		if inTime {
			res.inTime[c.kind]++
			res.value += weight / 2
			if c.kind == routineKind {
				teamInTime[c.team]++
			}
		}
		if c.served > 0 {
			res.served[c.kind]++
			res.value += weight / 2
		}
		if c.prompt >= fifth {
			large++
			if c.served > 0 {
				largeServed++
			}
		}
		if !c.refused {
			continue
		}
		res.refused[c.kind]++
		if c.hurried {
			hurried++
		} else {
			patient++
		}
		if c.lost {
			res.again[c.kind]++
			if c.hurried {
				res.hurriedLost++
			} else {
				res.patientLost++
			}
		}
	}
	for team := range contendedTeams {
		if team != loudTeam && teamOffered[team] > 10 {
			res.worstTeam = min(res.worstTeam, teamInTime[team]/teamOffered[team])
		}
	}
	for _, kind := range []*simKind{urgentKind, routineKind} {
		for _, m := range []map[*simKind]float64{res.inTime, res.served, res.refused, res.again} {
			m[kind] /= res.offered[kind]
		}
	}
	sum := (res.served[urgentKind]*res.offered[urgentKind] + res.served[routineKind]*res.offered[routineKind]) / float64(len(sizes))
	res.largeRatio = largeServed / large / sum
	res.wasted = float64(s.contention.wasted) / float64(max(1, s.computed))
	res.patientLost /= max(1, patient)
	res.hurriedLost /= max(1, hurried)
	res.value /= all
	return res
}

// loudTeam is the team that sends 7.5 times its usual load for 6.5 s.
const loudTeam = 1

// contendedLoads are the loads of the table. Each has the burst of one team; that at 0.8 also
// has bursts of all teams.
func contendedLoads() []contention {
	constant := func(factor float64) func(time.Duration, *simKind, int) float64 {
		return func(at time.Duration, _ *simKind, team int) float64 {
			if team == loudTeam && at >= 30*time.Second && at < 36500*time.Millisecond {
				return 7.5 * factor
			}
			return factor
		}
	}
	bursts := func(at time.Duration, kind *simKind, team int) float64 {
		factor := 0.8
		if at%(20*time.Second) >= 5*time.Second && at%(20*time.Second) < 12*time.Second && at < 25*time.Second {
			factor *= 1.9
		}
		return constant(factor)(at, kind, team)
	}
	third := func(at time.Duration) int {
		if at >= 15*time.Second && at < 35*time.Second {
			return (contendedPrefills + contendedDecodes) / 3
		}
		return 0
	}
	return []contention{
		{name: "0.8", load: constant(0.8)},
		{name: "0.8 bursts", load: bursts},
		{name: "1.2", load: constant(1.2)},
		{name: "2.0", load: constant(2)},
		{name: "0.8 third lost", load: constant(0.8), lost: third},
		{name: "1.2 frozen", load: constant(1.2), freeze: true},
		{name: "0.8 frozen", load: constant(0.8), freeze: true},
	}
}

func (r *contendedResult) String() string {
	u, n := urgentKind, routineKind
	return fmt.Sprintf("in time %5.1f/%5.1f served %5.1f/%5.1f refused %4.1f/%4.1f again %4.1f/%4.1f worst team %4.1f large %4.2f wasted %5.3f%% lost patient %4.1f hurried %4.1f value %5.1f",
		100*r.inTime[u], 100*r.inTime[n], 100*r.served[u], 100*r.served[n], 100*r.refused[u], 100*r.refused[n],
		100*r.again[u], 100*r.again[n], 100*r.worstTeam, r.largeRatio, 100*r.wasted, 100*r.patientLost, 100*r.hurriedLost, 100*r.value)
}

// TestContendedPool compares the order without teams with that of teams at each load. With
// teams, every urgent request must be served, as many requests as without must be served in
// time, no team must starve and the largest requests must not either. With -v it runs all loads
// with three seeds.
func TestContendedPool(t *testing.T) {
	t.Parallel()
	seeds, loads := 1, contendedLoads()
	if testing.Verbose() {
		seeds = 3
	} else {
		loads = slices.DeleteFunc(loads, func(k contention) bool { return k.name != "2.0" && k.name != "0.8 frozen" })
	}
	for _, load := range loads {
		for seed := range seeds {
			var results [2]contendedResult
			for i := range results {
				k := load
				k.teams = i == 1
				s := runContended(&k, uint64(seed)+1)
				results[i] = s.contendedResult(loudTeam)
				t.Logf("teams %-5v %-14s %d: %s declined %d overtaken %d", k.teams, k.name, seed+1, &results[i], k.declines, k.overtaken)
			}
			before, after := &results[0], &results[1]
			assert.Check(t, after.served[urgentKind] > 0.99 && after.served[urgentKind] >= before.served[urgentKind], load.name)
			assert.Check(t, after.value > before.value-0.01, load.name)
			assert.Check(t, after.worstTeam > 0.6*after.inTime[routineKind], load.name)
			assert.Check(t, after.largeRatio > 0.5, load.name)
			assert.Check(t, !load.freeze || after.wasted < 0.6*before.wasted, load.name)
		}
	}
}
