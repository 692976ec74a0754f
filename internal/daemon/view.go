package daemon

import (
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// view takes all configured entry VMs for alive.
type view struct {
	self  membership.Member
	store *configuration.Store
	// seeds are this VM and the peers known before any configuration.
	seeds []membership.Member
}

func newView(id Identity, conf *settings.Settings, store *configuration.Store) membership.View {
	self := membership.Member{VM: id.VM, Zone: id.Zone, Incarnation: id.Incarnation, State: membership.Alive}
	v := &view{self: self, store: store, seeds: []membership.Member{self}}
	for _, address := range conf.Peers.Seeds {
		v.seeds = append(v.seeds, membership.Member{VM: address, Address: address, State: membership.Alive})
	}
	return v
}

func (v *view) Self() membership.Member { return v.self }

func (v *view) Members() []membership.Member {
	snapshot := v.store.Snapshot()
	if snapshot == nil {
		return v.seeds
	}
	var members []membership.Member
	for _, vm := range snapshot.Fleet().VMs {
		if vm.Name == v.self.VM {
			members = append(members, v.self)
			continue
		}
		members = append(members, membership.Member{VM: vm.Name, Zone: vm.Zone, Address: vm.Address, State: membership.Alive})
	}
	return members
}
