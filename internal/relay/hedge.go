package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/routing"
)

// plainAttempt is an attempt that runs beside the goroutine that serves the request.
type plainAttempt struct {
	to      *configuration.Endpoint
	cancel  context.CancelFunc
	outcome chan plainOutcome
}

// plainOutcome is the end of an attempt.
type plainOutcome struct {
	// x is the attempt's copy of the exchange.
	x *exchange
	// final is set if the attempt yielded a good answer.
	final bool
	// sends and refusal are those of the exchange before the attempt.
	sends   int
	refusal string
}

// sent reports whether the endpoint may have received the request.
func (o *plainOutcome) sent() bool { return o.x.sends > o.sends }

// tryHedged sends the request to one endpoint and, if its answer is late, to a second one as well. It
// returns true if no other endpoint may be tried.
func (r *Relay) tryHedged(ctx context.Context, x *exchange, first *configuration.Endpoint, group []*configuration.Endpoint) bool {
	h := r.options.Hedger
	if h == nil {
		return r.tryPlain(ctx, x, first, group)
	}
	if len(x.exclude) == 1 {
		h.Earn(x.service.Name)
	}
	if x.route.Kind != routing.Repeatable {
		return r.tryPlain(ctx, x, first, group)
	}
	after, quantile, known := h.Delay(time.Now(), latencyKey(x), first.Name)
	if !known || x.sends+1 >= x.route.MaxAttempts || after >= x.timeLeft() {
		return r.tryTimed(ctx, x, first, group, x.suspect.Begin(first.Name, first.Address))
	}
	started := time.Now()
	running := r.startPlain(ctx, x, first, group, nil)
	defer running.cancel()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case o := <-running.outcome:
		return x.merge(&o)
	case <-timer.C:
	}
	// An answer that has arrived meanwhile, such as while the process was frozen, needs no hedge.
	select {
	case o := <-running.outcome:
		return x.merge(&o)
	default:
	}
	second := r.planHedge(x, first)
	if second == nil {
		o := <-running.outcome
		return x.merge(&o)
	}
	return r.race(ctx, x, hedgeRace{first: running, group: group, second: second, started: started, after: after, quantile: quantile})
}

// hedgeRace is a request at two endpoints.
type hedgeRace struct {
	first    *plainAttempt
	group    []*configuration.Endpoint
	second   *configuration.Endpoint
	started  time.Time
	after    time.Duration
	quantile float64
}

// race sends the request to the second endpoint and waits for the first good answer of both.
func (r *Relay) race(ctx context.Context, x *exchange, race hedgeRace) bool {
	base := x.sends
	x.exclude = append(x.exclude, race.second.Name)
	x.sends++ // The first attempt's send.
	second := r.startPlain(ctx, x, race.second, race.group, func(ctx context.Context, x *exchange) bool {
		return r.admitHedge(ctx, x, race.second)
	})
	x.sends = base
	defer second.cancel()
	var o plainOutcome
	ended, other := race.first, second
	select {
	case o = <-race.first.outcome:
	case o = <-second.outcome:
		ended, other = second, race.first
	}
	final := x.merge(&o)
	if ended == second {
		r.settleHedge(x.service.Name, &o, final)
	}
	if !final {
		o = <-other.outcome
		ended, other = other, nil
		final = x.merge(&o)
		if ended == second {
			r.settleHedge(x.service.Name, &o, final)
		}
	}
	r.logRace(x, &race, final && ended == race.first, final && ended == second)
	switch other {
	case second:
		second.cancel()
		service := x.service.Name
		go func() {
			o := <-second.outcome
			r.settleHedge(service, &o, false)
		}()
	case race.first:
		race.first.cancel()
		// The call that is cancelled records no outcome itself.
		x.sends++
		r.options.Hedger.ObserveAtLeast(time.Now(), latencyKey(x), race.first.to.Name, time.Since(race.started))
		r.options.Endpoints.ObserveOvertaken(race.first.to.Name)
	}
	return final
}

// logRace logs a hedge once the request has an answer or both attempts have ended.
func (r *Relay) logRace(x *exchange, race *hedgeRace, firstWon, secondWon bool) {
	winner, saved := "none", time.Duration(0)
	switch {
	case secondWon:
		winner = "second"
		saved = r.options.Hedger.Remaining(time.Now(), latencyKey(x), time.Since(race.started))
	case firstWon:
		winner = "first"
	}
	r.decide(x, "request hedged", logrus.Fields{
		"first": race.first.to.Name, "second": race.second.Name, "after_ms": race.after.Milliseconds(),
		"quantile": race.quantile, "won": winner, "saved_ms": saved.Milliseconds(),
	})
}

// settleHedge counts a hedge that has ended, or returns what it took from the limit if it was not sent.
func (r *Relay) settleHedge(service string, o *plainOutcome, won bool) {
	h := r.options.Hedger
	if !o.sent() {
		h.Refund(service)
		return
	}
	h.Counters.Sent.Add(1)
	if won {
		h.Counters.Won.Add(1)
	} else {
		h.Counters.Wasted.Add(1)
	}
}

// startPlain starts an attempt on a copy of the exchange. If admit is not nil, the request is only sent if
// it returns true.
func (r *Relay) startPlain(
	ctx context.Context, x *exchange, to *configuration.Endpoint, group []*configuration.Endpoint,
	admit func(context.Context, *exchange) bool,
) *plainAttempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &plainAttempt{to: to, cancel: cancel, outcome: make(chan plainOutcome, 1)}
	detached := *x
	detached.exclude = slices.Clone(x.exclude)
	detached.buffered = true
	o := plainOutcome{x: &detached, sends: x.sends, refusal: x.refusal}
	// The record of the request in the quarantine is not safe for concurrent use.
	suspect := x.suspect.Begin(to.Name, to.Address)
	go func() {
		if admit == nil || admit(ctx, o.x) {
			o.final = r.tryTimed(ctx, o.x, to, group, suspect)
		}
		a.outcome <- o
	}()
	return a
}

// merge takes over the outcome of an attempt that ran on a copy, and returns whether it is final.
func (x *exchange) merge(o *plainOutcome) bool {
	x.sends += o.x.sends - o.sends
	x.mayHaveRun = x.mayHaveRun || o.x.mayHaveRun
	if o.x.refusal != o.refusal {
		x.refusal, x.retryAfter = o.x.refusal, o.x.retryAfter
	}
	if o.x.answer != nil {
		x.answer = o.x.answer
	}
	return o.final
}

// tryTimed sends the request to one endpoint and records the latency of a good answer.
func (r *Relay) tryTimed(
	ctx context.Context, x *exchange, to *configuration.Endpoint, group []*configuration.Endpoint, attempt *quarantine.Attempt,
) bool {
	started := time.Now()
	final := r.runPlain(ctx, x, to, group, attempt)
	if final && ctx.Err() == nil {
		r.options.Hedger.Observe(time.Now(), latencyKey(x), to.Name, time.Since(started))
	}
	return final
}

// latencyKey names the kind of request whose latencies are compared.
func latencyKey(x *exchange) string { return x.route.Name + "\x00" + x.service.Name }

// planHedge returns the endpoint to which a request that waits for another one is sent as well, nil if
// none. It takes a hedge from the limit and a retry from the budget.
func (r *Relay) planHedge(x *exchange, first *configuration.Endpoint) *configuration.Endpoint {
	h := r.options.Hedger
	if r.end.Load() != nil || x.timeLeft() <= 0 {
		return nil
	}
	// The key is judged right before the request is sent, see permitRequest.
	if _, held := x.suspect.Held(); held {
		return nil
	}
	if h.Loaded(time.Now(), x.service.Name, r.hedgeCandidates(r.options.Fleet.View().Plain(x.service.Name))) {
		h.Counters.HeldByLoad.Add(1)
		return nil
	}
	free := slices.DeleteFunc(slices.Clone(r.belowConnectionLimit(x.service)), func(e *configuration.Endpoint) bool {
		return slices.Contains(x.exclude, e.Name) || r.permit(e.Name) != nil || !r.options.Endpoints.Available(e.Name)
	})
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	from := r.hedgeCandidates([]*configuration.Endpoint{first})
	chosen := hedge.Choose(&from[0], r.hedgeCandidates(free))
	if chosen < 0 {
		return nil
	}
	if !h.Take(x.service.Name) {
		h.Counters.HeldByLimit.Add(1)
		return nil
	}
	if !r.options.Budget.Spend(x.service.Name) {
		h.Refund(x.service.Name)
		h.Counters.HeldByLimit.Add(1)
		return nil
	}
	r.Counters.Repeated.Add(1)
	return free[chosen]
}

// admitHedge reports whether an endpoint that names a limit takes a hedge. It returns the retry if not.
func (r *Relay) admitHedge(ctx context.Context, x *exchange, to *configuration.Endpoint) bool {
	wait, admitted := r.options.Admission.Admit(ctx, to)
	if !admitted {
		r.Counters.AtLimit.Add(1)
		r.decide(x, "endpoint at its limit", logrus.Fields{"endpoint": to.Name, "wait_ms": wait.Milliseconds()})
		r.refundRetry(x.service.Name)
	}
	return admitted
}

// hedgeCandidates returns what is known of endpoints, in the same order.
func (r *Relay) hedgeCandidates(endpoints []*configuration.Endpoint) []hedge.Candidate {
	now := time.Now()
	all := make([]hedge.Candidate, len(endpoints))
	for i, e := range endpoints {
		host, _, err := net.SplitHostPort(e.Address)
		if err != nil {
			host = e.Address // The address has no port; it names the machine.
		}
		stats := r.options.Endpoints.Stats(e.Name)
		all[i] = hedge.Candidate{
			Name: e.Name, Host: host, Zone: e.Zone, Build: e.Build,
			Requests: max(stats.ReportedLoad, float64(stats.InFlight)), Slots: e.Slots,
			Speed: r.options.Hedger.Speed(now, e.Name),
		}
	}
	return all
}
