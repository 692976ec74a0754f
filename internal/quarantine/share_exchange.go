package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// exchangePeriod is the mean time between two exchanges of a VM, idlePeriod that of
	// one that knows no facts: VMs that know some ask it.
	exchangePeriod, idlePeriod = time.Second, 5 * time.Second
	// settleTime is the time after the start for which exchangePeriod holds in any case,
	// since other VMs may not yet see this one and not send it what they observe.
	settleTime = 5 * time.Second
	// retryPeriod is the time after which an exchange that failed, or for which no
	// member was in view, is tried again.
	retryPeriod = 200 * time.Millisecond
	// eagerExchanges is the number of exchanges that follow retryPeriod apart when one
	// has brought something new to either side.
	eagerExchanges = 8
	// spread is the range of a random factor of periods.
	spread = 0.2
	// maxPartners bounds the members of another zone with which a VM exchanges facts,
	// and with that its connections.
	maxPartners = 4
	// emptyDigest is sent by a VM that knows no facts, since 0 asks for none.
	emptyDigest = 1
)

// partnersKey is hashed with the names of VMs to choose partners in other zones.
const partnersKey = "quarantine\x00"

// wireDigest returns the digest as it is sent.
func wireDigest(digest uint64) uint64 { return max(digest, emptyDigest) }

// lane is a sequence of exchanges, one at a time.
type lane struct {
	// last is the time of the last response; zero if an exchange is due at once.
	last time.Time
	// retry is the time before which no exchange is begun.
	retry time.Time
	// factor is the random factor of the present period.
	factor float64
	busy   bool
	// alone is set if no member was in view.
	alone bool
}

// restart makes an exchange due at once.
func (l *lane) restart() { l.last, l.retry = time.Time{}, time.Time{} }

// due returns the time of the next exchange.
func (l *lane) due(period time.Duration) time.Time {
	if l.last.IsZero() {
		return l.retry
	}
	if due := l.last.Add(time.Duration(float64(period) * l.factor)); due.After(l.retry) {
		return due
	}
	return l.retry
}

// exchangeDue begins the exchanges that are due and returns the time of the next one.
// The lock must be held.
func (s *sharer) exchangeDue(ctx context.Context, now time.Time, members []membership.Member, known bool) time.Time {
	period := exchangePeriod
	if !known && now.Sub(s.started) >= settleTime {
		period = idlePeriod
	}
	own := period
	if !s.otherLane.alone {
		own = 2 * period
	}
	other := period
	if !s.ownLane.alone {
		other = 2 * period
	}
	if s.eager > 0 {
		own = retryPeriod
	}
	next := s.exchangeLane(ctx, now, &s.ownLane, own, func() []membership.Member { return s.neighbours(members) })
	return earlier(next, s.exchangeLane(ctx, now, &s.otherLane, other, func() []membership.Member { return s.distant(members) }))
}

// exchangeLane begins the exchange of a lane if it is due and returns the time of the
// next one; zero while one is in flight.
func (s *sharer) exchangeLane(ctx context.Context, now time.Time, l *lane, period time.Duration, candidates func() []membership.Member) time.Time {
	if l.busy {
		return time.Time{}
	}
	if due := l.due(period); due.After(now) {
		return due
	}
	from := candidates()
	l.alone = len(from) == 0
	l.retry = now.Add(retryPeriod)
	if l.alone {
		l.last = time.Time{}
		return l.retry
	}
	l.busy = true
	to := from[s.random.IntN(len(from))]
	s.spawn(func() { s.exchange(ctx, l, to) })
	return time.Time{}
}

// exchange makes one exchange and notes its outcome.
func (s *sharer) exchange(ctx context.Context, l *lane, to membership.Member) {
	learned, err := s.reconcile(ctx, to)
	s.noteLearned(learned)
	s.counters.Exchanges.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.busy = false
	switch {
	case err == nil:
		l.last = s.clock()
		l.factor = 1 + spread*(s.random.Float64()-0.5)
		if l == &s.ownLane {
			s.eager = max(0, s.eager-1)
		}
	case errorx.IsOfType(err, Unserved):
		s.noteUnserved(&to)
	default:
		s.counters.ExchangesFailed.Add(1)
		l.last = time.Time{}
	}
	s.signal()
}

// reconcile makes this VM and a member know the same facts, and returns those that were
// new here.
func (s *sharer) reconcile(ctx context.Context, to membership.Member) (learned Facts, err error) {
	digest := wireDigest(s.store.digest())
	response, err := s.call(ctx, to, Message{Digest: digest})
	if err != nil || response.Digest == digest {
		return Facts{}, err
	}
	s.counters.Differing.Add(1)
	learned.add(s.merge(s.bounded(response.Facts)))
	all := s.store.all()
	lacking := all.without(response.Facts)
	for _, facts := range lacking.split() {
		response, err = s.call(ctx, to, Message{Facts: facts, Digest: wireDigest(s.store.digest())})
		if err != nil {
			break
		}
		learned.add(s.merge(s.bounded(response.Facts)))
	}
	if err == nil && !lacking.Empty() && response.Digest == wireDigest(s.store.digest()) {
		s.hurry()
	}
	return learned, err
}

// hurry makes the next exchanges with the own zone follow soon, since VMs were found
// that lacked facts: others may lack them as well.
func (s *sharer) hurry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eager = eagerExchanges
	s.signal()
}

// neighbours returns the members of the own zone to exchange facts with.
func (s *sharer) neighbours(members []membership.Member) []membership.Member {
	return preferAvailable(s.serving(members, s.view.Self().Zone))
}

// distant returns the members of a random other zone to exchange facts with.
func (s *sharer) distant(members []membership.Member) []membership.Member {
	self := s.view.Self()
	var zones []string
	for i := range members {
		m := &members[i]
		if m.Zone != self.Zone && !s.isUnserved(m) && !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	slices.Sort(zones)
	partners := preferAvailable(s.partners(members, zones[s.random.IntN(len(zones))]))
	return partners[:min(len(partners), maxPartners)]
}

// serving returns the members of a zone that may serve the exchange, without this VM.
func (s *sharer) serving(members []membership.Member, zone string) []membership.Member {
	self := s.view.Self()
	var serving []membership.Member
	for i := range members {
		if m := &members[i]; m.Zone == zone && m.VM != self.VM && !s.isUnserved(m) {
			serving = append(serving, *m)
		}
	}
	return serving
}

// partners returns the members of another zone in the order in which this VM calls
// them: available ones first, then by rendezvous hashing.
func (s *sharer) partners(members []membership.Member, zone string) []membership.Member {
	partners := s.serving(members, zone)
	key := partnersKey + s.view.Self().VM
	slices.SortFunc(partners, func(a, b membership.Member) int {
		if a.Available() != b.Available() {
			if a.Available() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rendezvous.Weight(key, b.VM), rendezvous.Weight(key, a.VM)), cmp.Compare(a.VM, b.VM))
	})
	return partners
}

// preferAvailable returns the available members, or all if none is.
func preferAvailable(members []membership.Member) []membership.Member {
	var available []membership.Member
	for _, m := range members {
		if m.Available() {
			available = append(available, m)
		}
	}
	if len(available) == 0 {
		return members
	}
	return available
}
