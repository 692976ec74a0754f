package lease

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// rank returns how many members of the VM's zone come before it in the
// rendezvous order of a lease. It matters for cost only.
func rank(name string, self membership.Member, members []membership.Member) int {
	own := weight(name, self.VM)
	before := 0
	for _, member := range members {
		if member.VM == self.VM || member.Zone != self.Zone || member.Draining || member.State != membership.Alive {
			continue
		}
		if weight(name, member.VM) > own {
			before++
		}
	}
	return before
}

func weight(name, vm string) uint64 { return xxhash.Sum64String(name + "\x00" + vm) }
