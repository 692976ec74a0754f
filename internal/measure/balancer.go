package measure

import "sync/atomic"

// balancer models the load balancer of the platform, which sends requests only to
// entry VMs that are ready. It is safe for concurrent use.
type balancer struct {
	addresses []string
	removed   []atomic.Bool
}

func newBalancer(addresses []string) *balancer {
	return &balancer{addresses: addresses, removed: make([]atomic.Bool, len(addresses))}
}

// remove excludes a VM from further requests.
func (b *balancer) remove(vm int) { b.removed[vm].Store(true) }

// pick returns the address of a VM, or of the next one if that VM was removed. It
// returns the VM's own address if all were removed.
func (b *balancer) pick(vm int) string {
	for i := range b.addresses {
		at := (vm + i) % len(b.addresses)
		if !b.removed[at].Load() {
			return b.addresses[at]
		}
	}
	return b.addresses[vm]
}
