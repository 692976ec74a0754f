package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// classKey identifies a class of a team.
type classKey struct {
	team, class string
}

// classQueueKey identifies a class queue. Resumed demands and those for a build have
// queues of their own, so that a build without room stops no other demand.
type classQueueKey struct {
	classKey
	resumed bool
	build   string
	// level is the level of strict demands, 0 for others.
	level int
}

// waiter is a waiting demand.
type waiter struct {
	demand  Demand
	arrival time.Time
	// level is the place in the order of service before fairness; higher is served first.
	level int
	// latestStart is the latest time at which an idle engine would still meet
	// the targets; zero if there is no target.
	latestStart time.Time
	// work is the prefill time on an idle engine.
	work  time.Duration
	queue *classQueue
	// blockedSince is when the demand first could not be placed when it was its
	// turn.
	blockedSince time.Time
}

// classQueue holds the waiting demands of one class of a team in the order in
// which they are served.
type classQueue struct {
	key     classQueueKey
	waiters []*waiter
	// index is the place in queue.list.
	index int
	// usage is the virtual time of the team.
	usage *float64
	// work is the sum of the waiters' prefill times.
	work time.Duration
	// rank is the number of lower priorities among the waiting demands, raised
	// by the waiting time of the first demand.
	rank int
	// waitsForBuild is set if the last attempt to place a demand of this queue
	// failed for want of engines of its build.
	waitsForBuild bool
}

// insert inserts a waiter in order: by arrival, or by the latest start if the
// class permits any order.
func (l *classQueue) insert(w *waiter) {
	i := len(l.waiters)
	for i > 0 && servedBefore(w, l.waiters[i-1]) {
		i--
	}
	l.waiters = slices.Insert(l.waiters, i, w)
	l.work += w.work
	w.queue = l
}

// servedBefore reports whether x is served before y of the same class queue.
func servedBefore(x, y *waiter) bool {
	if x.demand.Order == configuration.OrderAny && !x.latestStart.Equal(y.latestStart) {
		return x.hasEarlierStart(y)
	}
	return x.arrival.Before(y.arrival)
}

// hasEarlierStart reports whether w must start earlier than other. A waiter
// without a latest start comes last.
func (w *waiter) hasEarlierStart(other *waiter) bool {
	if w.latestStart.IsZero() {
		return false
	}
	return other.latestStart.IsZero() || w.latestStart.Before(other.latestStart)
}

// queue holds all waiting demands of the pool.
type queue struct {
	queues map[classQueueKey]*classQueue
	// list holds the class queues in no order; a pass over it is quicker than over the map.
	list []*classQueue
	byID map[engine.AttemptID]*waiter
	// sorted holds the class queues that are not empty, in the order of
	// service.
	sorted []*classQueue
	// pinned holds the class queues of demands for a build.
	pinned map[classQueueKey]*classQueue
	usage  *usage
	// work is the sum of the prefill times of all waiting demands, strict and late are the
	// numbers of waiting strict and background demands.
	work         time.Duration
	strict, late int
	// nextDrop is a lower bound on the latest starts of all waiting demands; zero
	// means that none is known.
	nextDrop time.Time
}

func newQueue() *queue {
	return &queue{
		queues: make(map[classQueueKey]*classQueue),
		pinned: make(map[classQueueKey]*classQueue),
		byID:   make(map[engine.AttemptID]*waiter),
		usage:  newUsage(),
	}
}

// len returns the number of waiting demands.
func (q *queue) len() int { return len(q.byID) }

// all returns the waiting demands in the order of their ids.
func (q *queue) all() []*waiter {
	return slices.SortedFunc(maps.Values(q.byID), func(x, y *waiter) int {
		return compareIDs(x.demand.ID, y.demand.ID)
	})
}

// waitingOf returns the number of waiting demands of a class.
func (q *queue) waitingOf(key classKey) int {
	n := 0
	for other, l := range q.queues {
		if other.classKey == key {
			n += len(l.waiters)
		}
	}
	return n
}

// pinnedWaiters returns the waiting demands for a build in the order of their ids.
func (q *queue) pinnedWaiters() []*waiter {
	var pinned []*waiter
	for _, l := range q.pinned {
		pinned = append(pinned, l.waiters...)
	}
	slices.SortFunc(pinned, func(x, y *waiter) int { return compareIDs(x.demand.ID, y.demand.ID) })
	return pinned
}

// awaitedBuilds returns the builds of which the waiting demands need more engines.
func (q *queue) awaitedBuilds() []string {
	var builds []string
	for key, l := range q.pinned {
		if l.waitsForBuild && !slices.Contains(builds, key.build) {
			builds = append(builds, key.build)
		}
	}
	return builds
}

// add adds a demand to its class queue.
func (q *queue) add(w *waiter) {
	d := &w.demand
	key := classQueueKey{classKey: classKey{d.Team, d.Class}, resumed: d.Resumed, build: d.Build}
	if d.Strict {
		key.level = w.level
	}
	l, ok := q.queues[key]
	if !ok {
		l = &classQueue{key: key, index: len(q.list), usage: q.usage.of(key.team)}
		q.queues[key] = l
		q.list = append(q.list, l)
		if d.pinned() {
			q.pinned[key] = l
		}
	}
	q.usage.enter(key.team, d.Share)
	l.insert(w)
	q.byID[d.ID] = w
	q.count(w, 1)
	q.lowerNextDrop(w.latestStart)
}

// remove removes a demand from its class queue.
func (q *queue) remove(w *waiter) {
	l := w.queue
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
	l.work -= w.work
	if len(l.waiters) == 0 {
		delete(q.queues, l.key)
		delete(q.pinned, l.key)
		last := q.list[len(q.list)-1]
		q.list[l.index], last.index = last, l.index
		q.list = q.list[:len(q.list)-1]
	}
	delete(q.byID, w.demand.ID)
	q.usage.leave(l.key.team)
	q.count(w, -1)
}

// count adds a waiter to the totals, or subtracts it.
func (q *queue) count(w *waiter, sign int) {
	q.work += time.Duration(sign) * w.work
	if w.demand.Strict {
		q.strict += sign
	}
	if w.demand.background() {
		q.late += sign
	}
}

// sharedWork returns the sum of the prefill times of the demands that do not wait for
// engines of a build.
func (q *queue) sharedWork() time.Duration {
	work := q.work
	for _, l := range q.pinned {
		if l.waitsForBuild {
			work -= l.work
		}
	}
	return work
}

// lowerNextDrop lowers nextDrop to a latest start if that is earlier. A zero time
// stands for no latest start and changes nothing.
func (q *queue) lowerNextDrop(t time.Time) {
	if t.IsZero() {
		return
	}
	if q.nextDrop.IsZero() || t.Before(q.nextDrop) {
		q.nextDrop = t
	}
}

// overdue removes and returns the waiters whose latest start has passed.
func (q *queue) overdue(now time.Time) []*waiter {
	if q.nextDrop.IsZero() || !now.After(q.nextDrop) {
		return nil
	}
	q.nextDrop = time.Time{}
	var late []*waiter
	for _, w := range q.byID {
		if !w.latestStart.IsZero() && now.After(w.latestStart) {
			late = append(late, w)
			continue
		}
		q.lowerNextDrop(w.latestStart)
	}
	slices.SortFunc(late, func(x, y *waiter) int { return compareIDs(x.demand.ID, y.demand.ID) })
	for _, w := range late {
		q.remove(w)
	}
	return late
}

// inOrder returns the class queues in the order of service: resumed demands,
// then priority raised by waiting time, then the team that used least of its
// share, then arrival. While strict demands wait, waiting raises none.
func (q *queue) inOrder(now time.Time) []*classQueue {
	q.sorted = q.sorted[:0]
	if q.strict > 0 {
		return q.firstQueues()
	}
	q.sorted = append(q.sorted, q.list...)
	rankByPriority(q.sorted)
	for _, l := range q.sorted {
		l.rank += int(now.Sub(l.waiters[0].arrival) / agingStep)
	}
	slices.SortFunc(q.sorted, q.compare)
	return q.sorted
}

// rankByPriority sets each class queue's rank to the number of lower priorities
// among the class queues.
func rankByPriority(queues []*classQueue) {
	for _, l := range queues {
		l.rank = 0
	}
	slices.SortFunc(queues, func(x, y *classQueue) int { return cmp.Compare(x.level(), y.level()) })
	for i := 1; i < len(queues); i++ {
		queues[i].rank = queues[i-1].rank
		if queues[i].level() > queues[i-1].level() {
			queues[i].rank++
		}
	}
}

// anyAheadOf reports whether any demand waits that is served before the given one: any
// demand if that is a background one, otherwise any but background demands; if it is
// strict, any of its urgency or above. Those that wait for engines of a build do not count.
func (q *queue) anyAheadOf(d *Demand) bool {
	for _, l := range q.list {
		if l.waitsForBuild {
			continue
		}
		if d.Strict && l.first().Strict {
			if l.first().Urgency >= d.Urgency {
				return true
			}
			continue
		}
		if !l.background() || d.background() {
			return true
		}
	}
	return false
}

// candidates returns the waiters that may be granted next: the first
// maxCandidates if the class permits any order, otherwise only the first.
func (l *classQueue) candidates() []*waiter {
	if l.waiters[0].demand.Order != configuration.OrderAny {
		return l.waiters[:1]
	}
	return l.waiters[:min(len(l.waiters), maxCandidates)]
}

// first returns the first demand in the class queue.
func (l *classQueue) first() *Demand { return &l.waiters[0].demand }

// level returns the level of the first demand in the class queue.
func (l *classQueue) level() int { return l.waiters[0].level }

// background reports whether the class queue holds background demands.
func (l *classQueue) background() bool { return l.first().background() }

func (q *queue) compare(x, y *classQueue) int {
	if x.key.resumed != y.key.resumed {
		if x.key.resumed {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(y.rank, x.rank),
		cmp.Compare(*x.usage, *y.usage),
		x.waiters[0].arrival.Compare(y.waiters[0].arrival),
		compareIDs(x.waiters[0].demand.ID, y.waiters[0].demand.ID),
	)
}
