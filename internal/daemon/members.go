package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/membership/swim"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/orphan"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/reservation"
	"github.com/ospreyshed/ospreyshed/internal/settings"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// membersModule provides the membership view of the entry VMs and cancels the
// engine work of VMs that are gone.
var membersModule = fx.Module("members",
	fx.Provide(
		newMembers,
		func(s *swim.Service) membership.View { return s },
		asPeerHandler(func(s *swim.Service) peer.Handler { return s.Peer() }),
		fx.Annotate(
			func(s *swim.Service) func(vmlist.List) { return s.ApplyList },
			fx.ResultTags(`group:"vmlist"`),
		),
	),
	fx.Invoke(runOrphans, runMembers),
)

// memberParams are the dependencies of the membership service.
type memberParams struct {
	fx.In
	Identity Identity
	Settings *settings.Settings
	Options  peer.Options
	Dialer   peer.Dialer
	Events   timeline.Recorder
	Metrics  *metrics.Registry
}

func newMembers(p memberParams) *swim.Service {
	service := swim.New(swim.Params{
		VM:          p.Identity.VM,
		Zone:        p.Identity.Zone,
		Address:     advertisedAddress(p.Settings.Peers.Advertise, p.Options.Listen),
		Incarnation: p.Identity.Incarnation,
		Seeds:       p.Settings.Peers.Seeds,
		Dialer:      p.Dialer,
		Events:      p.Events,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	p.Metrics.Mount("membership", service.Vars())
	return service
}

// advertisedAddress returns the address that is announced to peers. Port 0 is
// replaced by the port of the listener.
func advertisedAddress(advertise, listen string) string {
	address, err := netip.ParseAddrPort(advertise)
	if err != nil || address.Port() != 0 {
		return cmp.Or(advertise, listen)
	}
	_, port, err := net.SplitHostPort(listen)
	if err != nil {
		return listen
	}
	return net.JoinHostPort(address.Addr().String(), port)
}

// runMembers runs the membership protocol and applies each new configuration to it.
// It starts after the listener for peers, so that peers called by this VM can call
// back.
func runMembers(lifecycle fx.Lifecycle, service *swim.Service, store *configuration.Store, _ *peerServer) {
	background.Run(lifecycle, service.Run)
	background.Run(lifecycle, func(ctx context.Context) {
		for {
			changed := store.Changed()
			if snapshot := store.Snapshot(); snapshot != nil {
				service.ApplyConfiguration(snapshot)
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	})
}

// orphanParams are the dependencies of the service that cancels orphaned work.
type orphanParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Members   *swim.Service
	Store     *configuration.Store
	Pool      *openai.Pool
	Holders   *reservation.Service
	Events    timeline.Recorder
	Metrics   *metrics.Registry
}

func runOrphans(p orphanParams) {
	service := orphan.New(orphan.Params{
		View:          p.Members,
		Configuration: p.Store,
		Clients:       p.Pool,
		Events:        p.Events,
		Holders:       p.Holders,
	})
	p.Metrics.Mount("orphan", service.Vars())
	p.Members.OnGone(service.MemberGone)
	background.Run(p.Lifecycle, service.Run)
}
