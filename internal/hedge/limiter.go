package hedge

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Settings are the operator's limit on hedges.
type Settings struct {
	// Share is the number of hedges per request of a service; 0 turns hedging off.
	Share float64
	// Burst is the number of hedges of a service, over all VMs, that may come on top of the share
	// in any period.
	Burst int
}

// Enabled reports whether requests may be hedged.
func (s Settings) Enabled() bool { return s.Share > 0 && s.Burst > 0 }

// Limiter is one VM's part of the limit on hedges that all VMs share. In any period, the hedges of a
// service over all VMs with the same list of VMs are at most the share of its requests plus the burst.
//
// Each VM earns the share of its own requests, and stores at most its part of the burst. A part is a
// whole number of calls, so that the parts add up to the burst: a minimum of one call for each VM would
// allow 400 VMs a burst of 400. A part depends only on the list of the announced VMs, so that it holds
// on both sides of a partition. Credit begins at 0, so that a restart adds nothing.
//
// It is safe for concurrent use.
type Limiter struct {
	vm       string
	settings Settings

	mu       sync.Mutex
	vms      []string
	services map[string]*credit
}

// credit is the number of hedges that a VM may make for a service, and the most that it stores.
type credit struct{ balance, ceiling float64 }

// NewLimiter returns the limiter of a VM. It allows nothing until the VMs are known.
func NewLimiter(vm string, settings Settings) *Limiter {
	return &Limiter{vm: vm, settings: settings, services: make(map[string]*credit)}
}

// SetVMs sets the names of the VMs that share the limit.
func (l *Limiter) SetVMs(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.Compact(slices.Sorted(slices.Values(names)))
	for service, c := range l.services {
		c.ceiling = l.part(service)
		c.balance = min(c.balance, c.ceiling)
	}
}

// part returns this VM's part of the burst of a service. The remainder of the division goes to
// different VMs for each service.
func (l *Limiter) part(service string) float64 {
	if !slices.Contains(l.vms, l.vm) {
		return 0
	}
	rank := 0
	for _, other := range l.vms {
		if cmp.Or(cmp.Compare(place(service, other), place(service, l.vm)), cmp.Compare(other, l.vm)) < 0 {
			rank++
		}
	}
	whole, remainder := l.settings.Burst/len(l.vms), l.settings.Burst%len(l.vms)
	if rank < remainder {
		whole++
	}
	return float64(whole)
}

func place(service, vm string) uint64 { return xxhash.Sum64String(service + "\x00" + vm) }

// Earn credits one request of a caller.
func (l *Limiter) Earn(service string) { l.add(service, l.settings.Share) }

// Take takes one hedge and reports whether the limit allows it.
func (l *Limiter) Take(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(service)
	// Sums of binary fractions may fall short of a whole call by rounding.
	const rounding = 1e-9
	if c.balance < 1-rounding {
		return false
	}
	c.balance = max(0, c.balance-1)
	return true
}

// Refund returns a hedge that was taken and not sent.
func (l *Limiter) Refund(service string) { l.add(service, 1) }

func (l *Limiter) add(service string, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.of(service)
	c.balance = min(c.balance+amount, c.ceiling)
}

func (l *Limiter) of(service string) *credit {
	c := l.services[service]
	if c == nil {
		c = &credit{ceiling: l.part(service)}
		l.services[service] = c
	}
	return c
}
