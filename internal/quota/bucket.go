package quota

import (
	"math"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// askWindow is the time for which a VM that asked counts as one that asks. VMs without
	// requests report to an owner every presencePeriod.
	askWindow = 1500 * time.Millisecond
	// longestRefusal bounds how long a VM refuses requests without asking, and the time over
	// which the times named to VMs are spread.
	longestRefusal = 500 * time.Millisecond
	// reservationGrace is how long credit is kept for a request that does not ask again at the
	// time that it was given. It covers a call between zones and a pause of its VM.
	reservationGrace = 100 * time.Millisecond
	// minWait is added to the times that are named, so that rounding makes no request ask too
	// early.
	minWait = time.Millisecond
	// prefetchFloor is the part of the burst that is not leased beyond what requests need. Credit
	// that lies at one VM is then not missed at another.
	prefetchFloor = 0.5
	// maxReservations bounds the requests of a team that wait with reserved credit, one per VM.
	maxReservations = 512
	// urgentReserve is the part of the burst that only the most urgent requests may use. A team
	// that sends more than its quota would otherwise lose its urgent requests like all others.
	urgentReserve = 0.1
	// defaultBurst is the burst of a quota without one, as time at its rate. A bucket that holds
	// nothing would admit nothing.
	defaultBurst = time.Second
	// unknownWait is named if an owner has no credit to give and cannot predict when it will.
	unknownWait = 500 * time.Millisecond
)

// claim asks for credit of one team.
type claim struct {
	vm string
	// needed is the cost of a request, waiting that of further requests at the VM that wait for
	// the answer. wanted is the needed cost and what the VM expects to need soon.
	needed, waiting, wanted int64
	patience                time.Duration
	// yields is set for a request that leaves urgentReserve to more urgent ones.
	yields bool
}

// decision is the answer to a claim: credit, or the time until the needed credit is expected.
type decision struct {
	units int64
	wait  time.Duration
}

// reservation is credit for a request that waits for it at a VM.
type reservation struct {
	vm    string
	due   time.Time
	units int64
}

// bucket is the token bucket of one team at one owner. It is a pure function of its calls and
// their times.
type bucket struct {
	quota  team.Quota
	weight float64
	// credit is negative while a request of more than the burst is paid off.
	credit  float64
	settled time.Time
	// since is the time since which the owner has been first for the team, zero if it is not.
	since       time.Time
	established bool
	// asked holds the time of the last claim of each VM.
	asked map[string]time.Time
	// reserved are ordered by the time at which they are due.
	reserved []reservation
	// told is the latest time that was named to a request that cannot wait.
	told time.Time
	// used is the time of the last claim or return.
	used time.Time
}

// capacity returns the most credit that the bucket holds.
func (b *bucket) capacity() float64 {
	burst := b.quota.Burst
	if burst <= 0 {
		burst = b.quota.PerSecond * defaultBurst.Seconds()
	}
	return burst * b.weight
}

// perSecond returns the rate at which the bucket is refilled.
func (b *bucket) perSecond() float64 { return b.quota.PerSecond * b.weight }

// settle refills the bucket up to now, with the rate that has been in force since the last call.
func (b *bucket) settle(now time.Time) {
	if elapsed := now.Sub(b.settled); elapsed > 0 {
		b.credit = b.capped(b.credit + b.perSecond()*elapsed.Seconds())
		b.settled = now
	}
	b.reserved = slices.DeleteFunc(b.reserved, func(r reservation) bool { return now.Sub(r.due) > reservationGrace })
}

// capped returns a credit that does not exceed the capacity.
func (b *bucket) capped(credit float64) float64 { return min(credit, b.capacity()) }

// set changes the quota and the weight from now on. Credit above a lower burst is lost.
func (b *bucket) set(now time.Time, quota team.Quota, weight float64) {
	b.settle(now)
	b.quota, b.weight = quota, weight
	b.credit = b.capped(b.credit)
}

// askers returns the number of VMs that asked within askWindow, and forgets the others.
func (b *bucket) askers(now time.Time) int {
	for vm, at := range b.asked {
		if now.Sub(at) > askWindow {
			delete(b.asked, vm)
		}
	}
	return len(b.asked)
}

// refund returns credit that was leased and not used.
func (b *bucket) refund(now time.Time, units int64) {
	b.settle(now)
	b.used = now
	b.credit = b.capped(b.credit + float64(units))
}

// take decides a claim.
func (b *bucket) take(now time.Time, c claim) decision {
	b.settle(now)
	// A smaller request of the same VM asks while a larger one waits.
	own := slices.IndexFunc(b.reserved, func(r reservation) bool { return r.vm == c.vm && c.needed >= r.units })
	ahead := len(b.reserved)
	if own >= 0 {
		b.reserved = slices.Delete(b.reserved, own, own+1)
		ahead = own
	}
	if c.needed <= 0 {
		return decision{}
	}
	// More than the capacity never comes together; such a request leaves a debt.
	threshold := min(float64(c.needed)+b.reserveFor(c), b.capacity())
	if free := b.credit - b.reservedUnits(ahead); b.capacity() > 0 && free >= threshold {
		left := free - float64(c.needed)
		extra := max(0, min(c.waiting, int64(left-b.reserveFor(c))), min(c.wanted-c.needed, int64(left-prefetchFloor*b.capacity())))
		b.credit -= float64(c.needed + extra)
		return decision{units: c.needed + extra}
	}
	return decision{wait: b.refuse(now, c, threshold)}
}

// reserveFor returns the credit that a claim leaves to more urgent requests.
func (b *bucket) reserveFor(c claim) float64 {
	if !c.yields {
		return 0
	}
	return urgentReserve * b.capacity()
}

// refuse returns the time until there will be credit for a claim, and reserves it if the
// request can wait that long.
func (b *bucket) refuse(now time.Time, c claim, threshold float64) time.Duration {
	if b.perSecond() <= 0 || b.capacity() <= 0 {
		return unknownWait
	}
	missing := threshold + b.reservedUnits(len(b.reserved)) - b.credit
	wait := max(0, seconds(missing/b.perSecond())) + minWait
	if wait <= c.patience && len(b.reserved) < maxReservations {
		b.reserve(reservation{vm: c.vm, due: now.Add(wait), units: c.needed})
		return wait
	}
	// Requests that cannot wait come back, or not; their times are spread without reserving.
	earliest := now.Add(wait)
	told := b.told.Add(seconds(float64(c.needed) / b.perSecond()))
	if told.Before(earliest) || told.After(earliest.Add(longestRefusal)) {
		told = earliest
	}
	b.told = told
	return told.Sub(now)
}

// reserve keeps credit for a request that waits.
func (b *bucket) reserve(r reservation) {
	at, _ := slices.BinarySearchFunc(b.reserved, r, func(x, y reservation) int { return x.due.Compare(y.due) })
	b.reserved = slices.Insert(b.reserved, at, r)
}

// reservedUnits returns the credit that the first reservations keep. One of more than the
// capacity keeps a full bucket.
func (b *bucket) reservedUnits(count int) float64 {
	sum := 0.0
	for i := range count {
		sum += min(float64(b.reserved[i].units), b.capacity())
	}
	return sum
}

// seconds converts a number of seconds; long times are cut to maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the times that are named. It only keeps them from overflowing.
const maxWait = math.MaxInt64 / 4 * time.Nanosecond
