package quota

import (
	"slices"
	"time"
)

const (
	// leaseTime is how long leased credit may be used, counted from the time at which the call
	// for it was sent. An owner that takes over counts on it.
	leaseTime = time.Second
	// unusedTime is the age at which unused credit is returned. With checkPeriod it is at its
	// owner within 250 ms.
	unusedTime = 120 * time.Millisecond
	// demandPeriod is the time for which expected demand is leased in advance.
	demandPeriod = 250 * time.Millisecond
	// demandMemory is the time over which demand is averaged.
	demandMemory = time.Second
)

// charge is what a request costs its team.
type charge struct {
	cost int64
	// yields is set if the request leaves a part of the burst to more urgent ones.
	yields bool
}

// lender is the process that leased credit. Another process of the same VM does not take it back.
type lender struct {
	vm          string
	incarnation uint64
}

// lease is credit of one lender.
type lease struct {
	lender
	units int64
	// taken is the time from which the lease counts.
	taken time.Time
}

// account is what one VM holds of one team's quota. It is a pure function of its calls and their
// times.
type account struct {
	leases []lease
	// returns are credit to be given back.
	returns []lease
	// demand is the cost of recent requests, faded with demandMemory.
	demand   float64
	demanded time.Time
	// Requests that cost heldCost or more are refused until heldUntil, because there is credit
	// for them only at creditAt. With heldYields that holds only for those that yield.
	heldUntil, creditAt time.Time
	heldCost            int64
	heldYields          bool
	// owner is the VM that answered last, established what it reported of itself.
	owner       string
	established bool
	// next is the VM to be asked, as of a revision of the order.
	next     string
	revision uint64
	// asked is the time of the last claim, used that of the last request.
	asked, used time.Time
	// asking admits one request at a time to a call, waiting is the cost of those that wait for it.
	asking  chan struct{}
	waiting int64
}

func newAccount() *account { return &account{asking: make(chan struct{}, 1)} }

// request notes the demand of a request.
func (a *account) request(now time.Time, cost int64) {
	a.used = now
	a.demand = a.recentDemand(now) + float64(cost)
	a.demanded = now
}

// recentDemand fades linearly, so that a team that pauses is expected to need nothing.
func (a *account) recentDemand(now time.Time) float64 {
	age := now.Sub(a.demanded)
	return a.demand * max(0, 1-age.Seconds()/demandMemory.Seconds())
}

// expected returns the demand of the next demandPeriod, 0 if it is less than one more request of
// the given cost: credit that covers no request is of no use here.
func (a *account) expected(now time.Time, cost int64) int64 {
	if units := int64(a.recentDemand(now) * demandPeriod.Seconds() / demandMemory.Seconds()); units >= cost {
		return units
	}
	return 0
}

// balance returns the credit that can be used now.
func (a *account) balance(now time.Time) int64 {
	sum := int64(0)
	for i := range a.leases {
		if now.Sub(a.leases[i].taken) < leaseTime {
			sum += a.leases[i].units
		}
	}
	return sum
}

// take takes up to a cost from the balance, the oldest credit first.
func (a *account) take(now time.Time, cost int64) (parts []lease, units int64) {
	for i := range a.leases {
		l := &a.leases[i]
		if units == cost || now.Sub(l.taken) >= leaseTime {
			continue
		}
		part := *l
		part.units = min(l.units, cost-units)
		l.units -= part.units
		units += part.units
		parts = append(parts, part)
	}
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool { return l.units == 0 })
	return parts, units
}

// put returns parts to the balance that were taken and not used.
func (a *account) put(parts []lease) { a.leases = append(a.leases, parts...) }

// refund gives the cost of a request that has not run back to its lenders.
func (a *account) refund(parts []lease) { a.returns = append(a.returns, parts...) }

// expire drops leases that have ended and returns their units.
func (a *account) expire(now time.Time) int64 {
	units := int64(0)
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool {
		ended := now.Sub(l.taken) >= leaseTime
		if ended {
			units += l.units
		}
		return ended
	})
	return units
}

// giveBackUnused moves credit that was not used for a while to the returns.
func (a *account) giveBackUnused(now time.Time) {
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool {
		unused := now.Sub(l.taken) >= unusedTime
		if unused {
			a.returns = append(a.returns, l)
		}
		return unused
	})
}

// returnsTo removes and returns the credit to be given back to a VM.
func (a *account) returnsTo(vm string) []lease {
	var due []lease
	a.returns = slices.DeleteFunc(a.returns, func(l lease) bool {
		if l.vm == vm {
			due = append(due, l)
		}
		return l.vm == vm
	})
	return due
}

// hold refuses requests of a cost or more for a time at most, because there is credit only after
// wait.
func (a *account) hold(now time.Time, c charge, wait, atMost time.Duration) {
	a.heldYields = c.yields
	a.heldCost, a.creditAt, a.heldUntil = c.cost, now.Add(wait), now.Add(min(wait, atMost))
}

// held returns the time for which a request of a cost is refused, and the time until there is
// credit for it; false if the owner may be asked.
func (a *account) held(now time.Time, c charge) (until, credit time.Duration, held bool) {
	if c.cost < a.heldCost || a.heldYields && !c.yields || !now.Before(a.heldUntil) {
		return 0, 0, false
	}
	return a.heldUntil.Sub(now), a.creditAt.Sub(now), true
}
