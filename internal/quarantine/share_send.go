package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// maxCalls bounds the calls of deliveries in flight.
	maxCalls = 32
	// maxDeliveries bounds the deliveries that are not complete.
	maxDeliveries = 4096
	// zoneReceivers is the number of VMs of another zone that get facts to pass on.
	zoneReceivers = 2
	// maxAttempts bounds the calls of a delivery. Together they last for longer than
	// the idlePeriod after which a VM that was cut off asks for facts itself.
	maxAttempts = 8
	// maxZoneAttempts bounds the calls to a zone none of whose VMs has responded, so
	// that a zone that is cut off gets the facts when it is back.
	maxZoneAttempts = 64
	// maxUnserved bounds the processes of an earlier version that are remembered.
	maxUnserved = 1024
	// firstPause and longestPause bound the time between two calls of a delivery.
	firstPause, longestPause = 50 * time.Millisecond, 500 * time.Millisecond
)

// scope says which VMs get facts.
type scope int

const (
	// everywhere is all VMs.
	everywhere scope = iota
	// ownZone is the VMs of the own zone.
	ownZone
)

// queuedFacts are facts that wait to be sent, with ages as of a time.
type queuedFacts struct {
	facts Facts
	scope scope
	at    time.Time
}

// queue holds facts that wait to be sent.
type queue struct {
	items []queuedFacts
	// size is the number of facts.
	size int
}

// take returns all facts of a scope with ages as of now.
func (q *queue) take(now time.Time, of scope) Facts {
	var taken Facts
	for i := range q.items {
		if item := &q.items[i]; item.scope == of {
			taken.add(item.facts.after(now.Sub(item.at)))
		}
	}
	return taken
}

// delivery brings facts to a member, or to a member of another zone.
type delivery struct {
	facts Facts
	// at is the time as of which the facts' ages are.
	at time.Time
	// vm is the member; empty for a delivery to a zone.
	vm   string
	zone *zoneDelivery
	// attempts counts the calls that failed.
	attempts       int
	due            time.Time
	inFlight, done bool
}

// zoneDelivery is what the deliveries of the same facts to one zone share.
type zoneDelivery struct {
	zone string
	// tried are the VMs that were called.
	tried map[string]bool
	// open is the number of deliveries that are not complete, delivered that of VMs
	// that have responded.
	open, delivered int
}

// limit returns the number of attempts after which the delivery is given up.
func (d *delivery) limit() int {
	if d.zone != nil && d.zone.delivered == 0 && d.zone.open == 1 {
		return maxZoneAttempts
	}
	return maxAttempts
}

// end completes the delivery.
func (d *delivery) end() {
	d.done = true
	if d.zone != nil {
		d.zone.open--
	}
}

// enqueue queues facts and returns how many. The lock must be held.
func (s *sharer) enqueue(f Facts, to scope) int64 {
	n := f.size()
	if n == 0 {
		return 0
	}
	if s.queued.size+n > maxQueued {
		s.counters.Dropped.Add(int64(n))
		return 0
	}
	s.queued.size += n
	s.queued.items = append(s.queued.items, queuedFacts{facts: f.after(0), scope: to, at: s.clock()})
	s.signal()
	return int64(n)
}

// plan makes deliveries of the queued facts if batchTime has passed, and returns the
// time at which it will have; zero if there are none. The lock must be held.
func (s *sharer) plan(now time.Time, members []membership.Member) time.Time {
	self := s.view.Self()
	for i := range members {
		if members[i].Zone != self.Zone {
			s.zones[members[i].Zone] = true
		}
	}
	if len(s.queued.items) == 0 {
		return time.Time{}
	}
	if due := s.queued.items[0].at.Add(batchTime); due.After(now) {
		return due
	}
	published, forwarded := s.queued.take(now, everywhere), s.queued.take(now, ownZone)
	s.queued = queue{}
	for _, facts := range published.split() {
		s.planOtherZones(now, facts)
		s.planZone(now, self, members, facts)
	}
	for _, facts := range forwarded.split() {
		s.planZone(now, self, members, facts)
	}
	return time.Time{}
}

// planZone adds deliveries to all members of the own zone, available ones first.
func (s *sharer) planZone(now time.Time, self membership.Member, members []membership.Member, facts Facts) {
	for _, available := range []bool{true, false} {
		for i := range members {
			m := &members[i]
			if m.Zone != self.Zone || m.VM == self.VM || m.Available() != available {
				continue
			}
			if waiting := s.waiting(m.VM); waiting == nil || !waiting.absorb(now, facts) {
				s.addDelivery(&delivery{facts: facts, at: now, vm: m.VM, due: now})
			}
		}
	}
}

// waiting returns the delivery to a member that no call carries at present; nil if there
// is none.
func (s *sharer) waiting(vm string) *delivery {
	at := slices.IndexFunc(s.deliveries, func(d *delivery) bool { return d.vm == vm && !d.done && !d.inFlight })
	if at < 0 {
		return nil
	}
	return s.deliveries[at]
}

// absorb adds facts with ages as of now to the delivery, so that a VM that does not
// respond takes one call at a time. It reports false if a message cannot have as many.
func (d *delivery) absorb(now time.Time, facts Facts) bool {
	if len(d.facts.Crashes)+len(facts.Crashes) > maxCrashes || len(d.facts.Sounds)+len(facts.Sounds) > maxSounds {
		return false
	}
	d.facts, d.at = d.facts.after(now.Sub(d.at)), now
	d.facts.add(facts)
	d.attempts = min(d.attempts, 1)
	return true
}

// planOtherZones adds deliveries to all other zones.
func (s *sharer) planOtherZones(now time.Time, facts Facts) {
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		shared := &zoneDelivery{zone: zone, tried: make(map[string]bool)}
		for range zoneReceivers {
			shared.open++
			s.addDelivery(&delivery{facts: facts, at: now, zone: shared, due: now})
		}
	}
}

func (s *sharer) addDelivery(d *delivery) {
	if len(s.deliveries) >= maxDeliveries {
		d.end()
		s.counters.GivenUp.Add(1)
		return
	}
	s.deliveries = append(s.deliveries, d)
}

// deliver makes the calls that are due and returns the time of the next one; zero if
// there is none. First calls come before repeated ones, which a VM that is gone may
// delay. The lock must be held.
func (s *sharer) deliver(ctx context.Context, now time.Time, members []membership.Member) time.Time {
	slices.SortStableFunc(s.deliveries, func(a, b *delivery) int {
		return cmp.Or(cmp.Compare(a.attempts, b.attempts), a.due.Compare(b.due))
	})
	for _, d := range s.deliveries {
		if s.calls < maxCalls && !d.done && !d.inFlight && !d.due.After(now) && !s.calling[d.vm] {
			s.attempt(ctx, now, d, members)
		}
	}
	s.deliveries = slices.DeleteFunc(s.deliveries, func(d *delivery) bool { return d.done })
	var next time.Time
	for _, d := range s.deliveries {
		if !d.inFlight && d.due.After(now) {
			next = earlier(next, d.due)
		}
	}
	return next
}

// attempt makes one call of a delivery, or ends it if its target is gone.
func (s *sharer) attempt(ctx context.Context, now time.Time, d *delivery, members []membership.Member) {
	to, found := s.target(d, members)
	switch {
	case found:
		d.inFlight = true
		s.calls++
		if d.vm != "" {
			s.calling[d.vm] = true
		}
		m := Message{Facts: d.facts.after(now.Sub(d.at)), Forward: d.zone != nil}
		s.spawn(func() { s.send(ctx, d, to, m) })
	case d.zone == nil || d.zone.delivered > 0 || d.zone.open > 1:
		d.end()
	default:
		s.fail(now, d)
	}
}

// target returns the member to call next; false if there is none in view.
func (s *sharer) target(d *delivery, members []membership.Member) (membership.Member, bool) {
	if d.zone == nil {
		at := slices.IndexFunc(members, func(m membership.Member) bool { return m.VM == d.vm })
		if at < 0 || s.isUnserved(&members[at]) {
			return membership.Member{}, false
		}
		return members[at], true
	}
	partners := s.partners(members, d.zone.zone)
	isUntried := func(m membership.Member) bool { return !d.zone.tried[m.VM] }
	at := slices.IndexFunc(partners, isUntried)
	if at < 0 && d.zone.delivered == 0 && d.zone.open == 1 && len(partners) > 0 {
		clear(d.zone.tried)
		at = 0
	}
	if at < 0 {
		return membership.Member{}, false
	}
	d.zone.tried[partners[at].VM] = true
	return partners[at], true
}

// send makes one call and notes its outcome.
func (s *sharer) send(ctx context.Context, d *delivery, to membership.Member, m Message) {
	_, err := s.call(ctx, to, m)
	s.counters.Deliveries.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	d.inFlight = false
	delete(s.calling, d.vm)
	switch {
	case err == nil:
		d.end()
		if d.zone != nil {
			d.zone.delivered++
		}
	case errorx.IsOfType(err, Unserved):
		// The next step chooses another member, or none.
		s.noteUnserved(&to)
	default:
		s.counters.DeliveriesFailed.Add(1)
		s.join(s.clock(), d)
		s.fail(s.clock(), d)
	}
	s.signal()
}

// join adds the facts that wait for the same member to a delivery that has failed, so
// that they come after those for members that respond. The lock must be held.
func (s *sharer) join(now time.Time, d *delivery) {
	if d.vm == "" {
		return
	}
	for _, other := range s.deliveries {
		if other != d && other.vm == d.vm && !other.done && !other.inFlight && d.absorb(now, other.facts.after(now.Sub(other.at))) {
			other.end()
		}
	}
}

// fail schedules the next call of a delivery, or gives it up. The lock must be held.
func (s *sharer) fail(now time.Time, d *delivery) {
	pause := longestPause
	if d.attempts < maxAttempts {
		pause = min(longestPause, firstPause<<d.attempts)
	}
	d.attempts++
	d.due = now.Add(pause)
	if d.attempts < d.limit() {
		return
	}
	s.counters.GivenUp.Add(1)
	if d.zone != nil && d.zone.delivered == 0 && d.zone.open == 1 {
		s.log.Change("facts about crashes did not reach an availability zone", logrus.Fields{
			"zone": d.zone.zone, "facts": d.facts.size(), "attempts": d.attempts,
		})
	}
	d.end()
}

func (s *sharer) isUnserved(m *membership.Member) bool {
	return s.unserved[process{m.VM, m.Incarnation}]
}

// noteUnserved remembers a process of an earlier version. The lock must be held.
func (s *sharer) noteUnserved(m *membership.Member) {
	s.counters.Unserved.Add(1)
	if len(s.unserved) >= maxUnserved {
		clear(s.unserved)
	}
	s.unserved[process{m.VM, m.Incarnation}] = true
}
