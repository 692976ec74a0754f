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
}

// waiter is a waiting demand.
type waiter struct {
	demand  Demand
	arrival time.Time
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
	byID   map[engine.AttemptID]*waiter
	// sorted holds the class queues that are not empty, in the order of
	// service.
	sorted []*classQueue
	usage  *usage
	// nextDrop is a lower bound on the latest starts of all waiting demands; zero
	// means that none is known.
	nextDrop time.Time
}

func newQueue() *queue {
	return &queue{
		queues: make(map[classQueueKey]*classQueue),
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
	for key, l := range q.queues {
		if key.build != "" {
			pinned = append(pinned, l.waiters...)
		}
	}
	slices.SortFunc(pinned, func(x, y *waiter) int { return compareIDs(x.demand.ID, y.demand.ID) })
	return pinned
}

// awaitedBuilds returns the builds of which the waiting demands need more engines.
func (q *queue) awaitedBuilds() []string {
	var builds []string
	for key, l := range q.queues {
		if l.waitsForBuild && !slices.Contains(builds, key.build) {
			builds = append(builds, key.build)
		}
	}
	return builds
}

// add adds a demand to its class queue.
func (q *queue) add(w *waiter) {
	key := classQueueKey{classKey{w.demand.Team, w.demand.Class}, w.demand.Resumed, w.demand.Build}
	l, ok := q.queues[key]
	if !ok {
		l = &classQueue{key: key}
		q.queues[key] = l
		q.usage.activate(key.team, q.activeTeams())
	}
	l.insert(w)
	q.byID[w.demand.ID] = w
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
	}
	delete(q.byID, w.demand.ID)
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
// share, then arrival.
func (q *queue) inOrder(now time.Time) []*classQueue {
	q.sorted = q.sorted[:0]
	for _, l := range q.queues {
		q.sorted = append(q.sorted, l)
	}
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
	slices.SortFunc(queues, func(x, y *classQueue) int { return cmp.Compare(x.priority(), y.priority()) })
	for i := 1; i < len(queues); i++ {
		queues[i].rank = queues[i-1].rank
		if queues[i].priority() > queues[i-1].priority() {
			queues[i].rank++
		}
	}
}

// anyAheadOf reports whether any demand waits that is served before one of a
// priority: any demand if that priority is a background one, otherwise any but
// background demands. Those that wait for engines of a build do not count.
func (q *queue) anyAheadOf(priority int) bool {
	for _, l := range q.queues {
		if l.waitsForBuild {
			continue
		}
		if l.priority() > BackgroundPriority || priority <= BackgroundPriority {
			return true
		}
	}
	return false
}

// hasBackground reports whether any background demand waits.
func (q *queue) hasBackground() bool {
	for _, l := range q.queues {
		if l.priority() <= BackgroundPriority {
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

// priority returns the priority of the first demand in the class queue.
func (l *classQueue) priority() int { return l.waiters[0].demand.Priority }

func (q *queue) compare(x, y *classQueue) int {
	if x.key.resumed != y.key.resumed {
		if x.key.resumed {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(y.rank, x.rank),
		cmp.Compare(q.usage.of(x.key.team), q.usage.of(y.key.team)),
		x.waiters[0].arrival.Compare(y.waiters[0].arrival),
		compareIDs(x.waiters[0].demand.ID, y.waiters[0].demand.ID),
	)
}

// activeTeams returns the teams with waiting demands.
func (q *queue) activeTeams() []string {
	var teams []string
	for key := range q.queues {
		if len(q.queues[key].waiters) > 0 && !slices.Contains(teams, key.team) {
			teams = append(teams, key.team)
		}
	}
	return teams
}
