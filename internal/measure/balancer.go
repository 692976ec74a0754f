package measure

import "sync/atomic"

// balancer spreads requests over the entry VMs that are ready, like the balancer
// of the platform. It is safe for concurrent use.
type balancer struct {
	addresses []string
	removed   []atomic.Bool
}

func newBalancer(addresses []string) *balancer {
	return &balancer{addresses: addresses, removed: make([]atomic.Bool, len(addresses))}
}

// remove sends no further requests to a VM.
func (b *balancer) remove(vm int) { b.removed[vm].Store(true) }

// pick returns the address of a VM, or of the next one that is not away.
func (b *balancer) pick(vm int) string {
	for i := range b.addresses {
		at := (vm + i) % len(b.addresses)
		if !b.removed[at].Load() {
			return b.addresses[at]
		}
	}
	return b.addresses[vm]
}
