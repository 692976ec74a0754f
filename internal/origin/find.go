package origin

import (
	"context"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// findTimeout bounds a search, apart from settleTime.
	findTimeout = 500 * time.Millisecond
	// widenTime is the time after which further members are asked, even if some of the
	// first have not responded.
	widenTime = 100 * time.Millisecond
	// stragglerTime is the time for which a search waits for members that have not
	// responded, from the time at which the last ones were asked, if others have.
	stragglerTime = 200 * time.Millisecond
	// settleTime is the time after its start for which a VM may not know all members. A
	// search waits for members until then.
	settleTime = 2 * time.Second
	// stepPeriod is the time between two steps of a search.
	stepPeriod = 10 * time.Millisecond
	// maxAsked bounds the members that a search asks.
	maxAsked = 40
	// maxLookups bounds the calls of all searches in flight.
	maxLookups = 256
)

// query is a search that several calls of Find share.
type query struct {
	done   chan struct{}
	origin Origin
	err    error
}

// Find returns the record of a stream: its own, or that of the first member that has
// one. The error is Unknown or Incomplete; it is Incomplete too if ctx ends.
//
// The members that are likely to have the record are asked first. If none of them has
// it, or after widenTime, others are asked. The search ends when all have responded;
// stragglerTime after the last ones were asked if at least one has responded; or after
// findTimeout.
func (s *Service) Find(ctx context.Context, stream string) (Origin, error) {
	s.mu.Lock()
	if known, ok := s.known(stream); ok {
		s.mu.Unlock()
		s.counters.FoundHere.Add(1)
		return known.Origin, nil
	}
	q := s.queryFor(ctx, stream)
	s.mu.Unlock()
	if q == nil {
		return Origin{}, Incomplete.New("stream %s: this VM stops", stream)
	}
	select {
	case <-q.done:
		return q.origin, q.err
	case <-ctx.Done():
		return Origin{}, Incomplete.Wrap(ctx.Err(), "stream %s", stream)
	}
}

// queryFor returns the search for a stream, which is started if none is under way; nil
// after the stop. The lock must be held.
func (s *Service) queryFor(ctx context.Context, stream string) *query {
	if q := s.queries[stream]; q != nil {
		return q
	}
	q := &query{done: make(chan struct{})}
	// Others may wait for the search when ctx has ended.
	ctx = context.WithoutCancel(ctx)
	if !s.start(func() { s.search(ctx, stream, q) }) {
		return nil
	}
	s.queries[stream] = q
	return q
}

// search carries out a query.
func (s *Service) search(ctx context.Context, stream string, q *query) {
	ctx, cancel := context.WithTimeout(ctx, max(0, settleTime-s.now())+findTimeout)
	defer cancel()
	found, err := newSearch(s, stream).run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.counters.FoundAtPeer.Add(1)
		now := s.now()
		s.note(now, s.held.put(now, &found.Origin, now+Lifetime-min(found.Age, Lifetime)))
	}
	delete(s.queries, stream)
	q.origin, q.err = found.Origin, err
	close(q.done)
}

// response is the outcome of one lookup.
type response struct {
	record Copy
	known  bool
	err    error
}

// search asks members for the record of one stream.
type search struct {
	service   *Service
	stream    string
	responses chan response
	asked     map[process]bool
	// members is the view of which order was made.
	members []membership.Member
	// order are the members in the order in which they are asked, the likely holders at once.
	order  []membership.Member
	likely int
	// waiting, unknown and failed are numbers of members asked: those that have not
	// responded, have no record, and failed.
	waiting, unknown, failed int
	// began is the time of the beginning, lastAsked that of the last call.
	began, lastAsked time.Duration
}

func newSearch(s *Service, stream string) *search {
	now := s.now()
	return &search{
		service: s, stream: stream, responses: make(chan response, maxAsked),
		asked: make(map[process]bool), began: now, lastAsked: now,
	}
}

// run returns the record of the first member that has one.
func (x *search) run(ctx context.Context) (Copy, error) {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for !x.step(ctx) {
		select {
		case r := <-x.responses:
			if x.take(r) {
				return r.record, nil
			}
		case <-ticker.C:
		case <-x.service.stopping:
			x.service.counters.Unanswered.Add(1)
			return Copy{}, Incomplete.New("stream %s: this VM stops", x.stream)
		case <-ctx.Done():
			return Copy{}, x.failure()
		}
	}
	return Copy{}, x.failure()
}

// take counts a response and reports whether it has the record.
func (x *search) take(r response) bool {
	x.waiting--
	switch {
	case r.err != nil:
		x.failed++
		x.service.counters.LookupsFailed.Add(1)
	case !r.known:
		x.unknown++
	}
	return r.err == nil && r.known
}

// step asks the members that are to be asked now and reports whether the search is at
// its end.
func (x *search) step(ctx context.Context) bool {
	now := x.service.now()
	x.look(now)
	x.ask(ctx, now, x.order[:min(x.likely, maxAsked)])
	if x.waiting > 0 && now-x.began < widenTime {
		return false
	}
	x.ask(ctx, now, x.order[:min(len(x.order), maxAsked)])
	if now < settleTime {
		return false
	}
	return x.waiting == 0 || x.unknown > 0 && now-x.lastAsked >= stragglerTime
}

// look puts the members in order, until settleTime whenever others are in view.
func (x *search) look(now time.Duration) {
	if x.members != nil && now >= settleTime {
		return
	}
	view := x.service.params.View
	if members := view.Members(); !slices.Equal(members, x.members) {
		x.members = members
		x.order, x.likely = searchOrder(x.stream, view.Self(), members)
	}
}

// ask asks those of the members that were not asked yet.
func (x *search) ask(ctx context.Context, now time.Duration, members []membership.Member) {
	for _, m := range members {
		to := process{m.VM, m.Incarnation}
		if x.asked[to] || len(x.asked) >= maxAsked {
			continue
		}
		x.asked[to] = true
		x.waiting++
		x.lastAsked = now
		go x.lookup(ctx, m)
	}
}

// lookup asks one member. The channel of responses has room for all of them.
func (x *search) lookup(ctx context.Context, m membership.Member) {
	s := x.service
	select {
	case s.lookups <- struct{}{}:
	case <-ctx.Done():
		x.responses <- response{err: ctx.Err()}
		return
	}
	defer func() { <-s.lookups }()
	s.counters.Lookups.Add(1)
	record, known, err := s.params.Peers.Lookup(ctx, m, x.stream)
	if err == nil && known && (!record.valid() || record.Stream != x.stream) {
		s.counters.Rejected.Add(1)
		known = false
	}
	x.responses <- response{record, known, err}
}

// failure returns the error of a search that found no record.
func (x *search) failure() error {
	if x.waiting+x.failed > 0 {
		x.service.counters.Unanswered.Add(1)
		return Incomplete.New("stream %s: %d members have no record, %d did not respond", x.stream, x.unknown, x.waiting+x.failed)
	}
	x.service.counters.NotFound.Add(1)
	return Unknown.New("stream %s: %d members have no record", x.stream, x.unknown)
}
