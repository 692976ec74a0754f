package quota

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// pauseLimit is the time without observations after which an owner begins anew: it was held
	// up, and VMs have asked the next owner meanwhile.
	pauseLimit = time.Second
	// bucketIdleTime is the time after which an unused bucket is dropped.
	bucketIdleTime = time.Minute
)

// ledger is what one process may give out of the quotas of teams, as the owner of some. It is a
// pure function of its calls and their times.
//
// Safety does not depend on who asks or on agreement about owners. An established owner has the
// parts of the zones that it sees most of; any other one has a part for each VM that asks it.
type ledger struct {
	started, observed time.Time
	views             views
	buckets           map[string]*bucket
}

func newLedger(self string, now time.Time) *ledger {
	return &ledger{started: now, observed: now, views: views{self: self}, buckets: make(map[string]*bucket)}
}

// change is an owner that became or ceased to be established for a team.
type change struct {
	team        string
	established bool
	weight      float64
}

// observe notes the members in view. It is called at least every quarter of pauseLimit, and
// returns the teams for which this owner became or ceased to be established.
func (l *ledger) observe(now time.Time, members []membership.Member, announced Announced, quotaOf func(string) (team.Quota, bool)) []change {
	l.restartAfterPause(now)
	l.observed = now
	changed := l.views.observe(now, members)
	weight := seenWeight(members, announced)
	var changes []change
	for name, b := range l.buckets {
		quota, known := quotaOf(name)
		if !known || b.idle(now) {
			delete(l.buckets, name)
			continue
		}
		if changed {
			b.since = l.views.firstSince(name)
		}
		was := b.established
		l.reweigh(now, b, quota, weight, announced)
		if b.established != was {
			changes = append(changes, change{team: name, established: b.established, weight: b.weight})
		}
	}
	return changes
}

// idle reports whether a bucket can be dropped. At an established owner a new one begins with
// credit, so that it must be full before.
func (b *bucket) idle(now time.Time) bool {
	needed := 0.0
	if b.established {
		needed = b.capacity()
	}
	return now.Sub(b.used) > bucketIdleTime && b.credit >= needed
}

// restartAfterPause forgets everything if this process was held up.
func (l *ledger) restartAfterPause(now time.Time) {
	if now.Sub(l.observed) <= pauseLimit {
		return
	}
	l.started, l.observed = now, now
	l.views.all = nil
	clear(l.buckets)
}

// reweigh sets the quota and the weight of a bucket.
func (l *ledger) reweigh(now time.Time, b *bucket, quota team.Quota, seen float64, announced Announced) {
	_, b.established = l.establishedAt(now, b)
	weight := seen
	if !b.established {
		weight = l.askedWeight(now, b, announced)
	}
	b.set(now, quota, weight)
}

// establishedAt returns the time at which this owner became established for a bucket's team.
func (l *ledger) establishedAt(now time.Time, b *bucket) (time.Time, bool) {
	if b.since.IsZero() {
		return time.Time{}, false
	}
	at := b.since
	if at.Before(l.started) {
		at = l.started
	}
	at = at.Add(settleTime)
	return at, !at.After(now)
}

// askedWeight returns the part of a quota that an owner which is not established may give out.
func (l *ledger) askedWeight(now time.Time, b *bucket, announced Announced) float64 {
	members := l.views.members()
	if !anyAnnounced(members, announced) {
		return 0
	}
	return min(1, float64(b.askers(now))/float64(vmCount(members, announced)))
}

// take decides a claim for a team with a quota. The second result is whether this owner is
// established for the team.
func (l *ledger) take(now time.Time, name string, quota team.Quota, c claim, announced Announced) (decision, bool) {
	l.observed = now
	b := l.bucket(now, name, quota, announced)
	b.used = now
	b.asked[c.vm] = now
	l.reweigh(now, b, quota, l.seenWeight(b, announced), announced)
	return b.take(now, c), b.established
}

// seenWeight returns the weight of a bucket that is not to be weighed by its askers. Between two
// observations it stays as it is.
func (l *ledger) seenWeight(b *bucket, announced Announced) float64 {
	if b.established {
		return b.weight
	}
	return seenWeight(l.views.members(), announced)
}

// bucket returns the bucket of a team. A new one is empty, but that an established owner credits
// the time since it became established.
func (l *ledger) bucket(now time.Time, name string, quota team.Quota, announced Announced) *bucket {
	if b, ok := l.buckets[name]; ok {
		return b
	}
	b := &bucket{quota: quota, settled: now, used: now, asked: make(map[string]time.Time)}
	b.since = l.views.firstSince(name)
	if at, established := l.establishedAt(now, b); established {
		b.established, b.settled = true, at
		b.weight = seenWeight(l.views.members(), announced)
	}
	l.buckets[name] = b
	return b
}

// refund takes back credit of a team that this process has leased.
func (l *ledger) refund(now time.Time, name string, units int64) {
	if b, ok := l.buckets[name]; ok && units > 0 {
		b.refund(now, units)
	}
}
