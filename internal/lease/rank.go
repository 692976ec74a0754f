package lease

import (
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// rank returns how many available members of the VM's zone come before it for a
// lease. Members try to acquire a free lease in this order, which saves appends;
// correctness does not depend on it.
func rank(name string, self membership.Member, members []membership.Member) int {
	return rendezvous.Rank(name, self.VM, members, func(m membership.Member) bool {
		return m.Zone == self.Zone && m.Available()
	})
}
