package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/feed"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/membership/swim"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/quota"
	"github.com/ospreyshed/ospreyshed/internal/reservation"
	"github.com/ospreyshed/ospreyshed/internal/retry"
	"github.com/ospreyshed/ospreyshed/internal/routing"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/team"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/timeline/timelinerpc"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

// timelineEvents is the number of events kept in the timeline. At about 150 bytes
// each they take less than half a megabyte.
const timelineEvents = 2048

// peersModule provides the communication between entry VMs.
var peersModule = fx.Module("peers",
	fx.Provide(
		newRegistry,
		newEvents,
		newEndpoints,
		newDialer,
		newMembers,
		newReservation,
		newFeed,
		newOrigins,
		newQuarantine,
		newQuotas,
		newPeerServer,
	),
	fx.Invoke(func(*peer.Server) {}, runBuilds),
)

// newRegistry returns a metrics registry that contains the adapter's own metrics.
func newRegistry(options *Options) *metrics.Registry {
	registry := metrics.NewRegistry()
	for group, values := range options.Vars {
		registry.Mount(group, values)
	}
	return registry
}

// newEvents returns the timeline, whose events are also logged.
func newEvents(options *Options, registry *metrics.Registry) (timeline.Recorder, *timeline.Ring) {
	ring := timeline.NewRing(options.VM, options.Incarnation, timelineEvents)
	registry.Mount("timeline", ring.Metrics())
	registry.Mount("log", options.Log.Vars())
	return decisionlog.Recorder{Ring: ring, Log: options.Log}, ring
}

func newEndpoints(events timeline.Recorder, registry *metrics.Registry) *endpoint.Registry {
	endpoints := endpoint.NewRegistry(events)
	registry.Mount("endpoint", metrics.Fields(&endpoints.Counters))
	return endpoints
}

// newDialer returns the transport between entry VMs. It is neither encrypted nor
// authenticated, because these VMs have no place to store keys.
func newDialer(options *Options, registry *metrics.Registry) *peer.HTTPDialer {
	dialer := peer.NewDialer(peer.Options{Listen: options.PeerAddress, Insecure: true})
	registry.Mount("peer_dialer", dialer.Vars())
	return dialer
}

func newMembers(lifecycle fx.Lifecycle, options *Options, dialer *peer.HTTPDialer, events timeline.Recorder, registry *metrics.Registry) *swim.Service {
	members := swim.New(swim.Params{
		VM:          options.VM,
		Zone:        options.Zone,
		Address:     options.PeerAddress,
		Incarnation: options.Incarnation,
		Seeds:       slices.DeleteFunc(slices.Clone(options.Seeds), func(s string) bool { return s == options.PeerAddress }),
		Dialer:      dialer,
		Events:      events,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	registry.Mount("membership", members.Vars())
	background.Run(lifecycle, members.Run)
	return members
}

func newReservation(lifecycle fx.Lifecycle, options *Options, members *swim.Service, dialer *peer.HTTPDialer, endpoints *endpoint.Registry, registry *metrics.Registry) *reservation.Service {
	service := reservation.New(reservation.Params{
		View:   members,
		Dialer: dialer,
		// These engines preempt requests when memory runs out, and can prefill in
		// either role.
		Scheduling: scheduling.Options{MemoryOverTime: true, SelfPrefill: true},
		Fleet:      func() reservation.Fleet { return options.Fleet.View() },
		Conditions: func(name string) reservation.Condition {
			return condition(options.Fleet.View(), endpoints, name)
		},
		Limits:  endpoints,
		Facts:   endpoints,
		VMCount: func() int { return options.Fleet.View().VMCount() },
	})
	members.OnGone(func(m membership.Member) { service.HolderGone(m.VM, m.Incarnation) })
	registry.Mount("reservation", metrics.Fields(service.Counters()))
	registry.Mount("scheduling", service.SchedulingVars())
	background.Run(lifecycle, service.Run)
	return service
}

// newFeed returns the service by which the entry VMs of a zone share what one of them
// reads from the platform's store.
func newFeed(lifecycle fx.Lifecycle, options *Options, members *swim.Service, dialer *peer.HTTPDialer, budgets *retry.Shared, hedger *hedge.Hedger, registry *metrics.Registry) *feed.Service {
	events := Events{EntryVMs: func(vms []fleet.EntryVM) { applyEntryVMs(options, members, budgets, hedger, vms) }}
	service := feed.New(feed.Params{
		View:    members,
		Store:   options.Store,
		Peers:   feed.NewPeers(dialer),
		Log:     options.Log,
		Clock:   options.Clock,
		Topics:  options.Topics(events),
		EraSeen: options.EraSeen,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	registry.Mount("feed", metrics.Fields(service.Counters()))
	background.Run(lifecycle, service.Run)
	return service
}

// newOrigins returns the service by which the entry VMs remember which build began a
// stream.
func newOrigins(lifecycle fx.Lifecycle, options *Options, members *swim.Service, dialer *peer.HTTPDialer, registry *metrics.Registry) *origin.Service {
	history := options.Builds.History
	service := origin.New(origin.Params{
		View:     members,
		Peers:    origin.NewPeers(dialer),
		Log:      options.Log,
		Clock:    options.Clock,
		Archive:  options.Origins,
		Archived: func(service string) bool { return history.Several(time.Now(), service) },
	})
	history.OnChange(service.WakeArchive)
	registry.Mount("origin", service.Vars())
	background.Run(lifecycle, service.Run)
	return service
}

// runBuilds runs the service that writes the records of builds.
func runBuilds(lifecycle fx.Lifecycle, options *Options, members *swim.Service, shared *feed.Service, registry *metrics.Registry) {
	service := builds.NewService(builds.Params{
		View:             members,
		History:          options.Builds.History,
		Store:            options.Builds.Store,
		Log:              options.Log,
		Clock:            options.Clock,
		FirstStart:       options.Builds.FirstStart,
		Started:          options.Builds.Started,
		RegistrationsAge: func() time.Duration { return shared.Age(options.EndpointTopic) },
		RecordsAge:       func() time.Duration { return shared.Age(options.Builds.Topic) },
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	registry.Mount("builds", service.Vars())
	background.Run(lifecycle, service.Run)
}

// processes tells whether processes of engines have ended, for package quarantine.
type processes struct {
	*upstream.Client
	fleet *fleet.Store
}

// Replaced implements quarantine.Engines.
func (p processes) Replaced(engine, address string) bool {
	return p.fleet.View().Replaced(engine, address)
}

// newQuarantine returns the service that finds parts of prompts on which engines crash.
func newQuarantine(lifecycle fx.Lifecycle, options *Options, members *swim.Service, dialer *peer.HTTPDialer, client *upstream.Client, registry *metrics.Registry) *quarantine.Service {
	service := quarantine.New(quarantine.Params{
		View:      members,
		Peers:     quarantine.NewPeers(dialer),
		Engines:   processes{client, options.Fleet},
		Archive:   options.Archive,
		Log:       options.Log,
		Clock:     options.Clock,
		WallClock: time.Now,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	registry.Mount("quarantine_archive", service.ArchiveVars())
	registry.Mount("quarantine", service.Vars())
	registry.Mount("quarantine_share", service.ShareVars())
	background.Run(lifecycle, service.Run)
	return service
}

// newQuotas returns the service that keeps requests within the quotas of teams.
func newQuotas(lifecycle fx.Lifecycle, options *Options, members *swim.Service, dialer *peer.HTTPDialer, registry *metrics.Registry) *quota.Service {
	service := quota.New(quota.Params{
		VM:          options.VM,
		Incarnation: options.Incarnation,
		View:        members,
		Announced:   func() quota.Announced { return options.Fleet.View() },
		Quota:       func(name string) (team.Quota, uint64, bool) { return quotaOf(options.Fleet.Table(), name) },
		Teams:       func() []string { return limitedTeams(options.Fleet.Table()) },
		Peers:       quota.NewPeers(dialer),
		Log:         options.Log,
		Clock:       options.Clock,
	})
	registry.Mount("quota", service.Vars())
	background.Run(lifecycle, service.Run)
	return service
}

// quotaOf returns a team's quota in a configuration, which is nil while none is known, and the
// version of the configuration.
func quotaOf(table *routing.Table, name string) (quota team.Quota, version uint64, known bool) {
	if table == nil {
		return team.Quota{}, 0, false
	}
	if t := table.Teams.Team(name); t != nil {
		return t.Quota, table.Version, true
	}
	return team.Quota{}, table.Version, false
}

// limitedTeams returns the names of the teams with a limit in a configuration, which is nil while
// none is known.
func limitedTeams(table *routing.Table) []string {
	if table == nil {
		return nil
	}
	return table.Teams.Limited()
}

// condition returns whether an engine is leaving or ejected.
func condition(view *fleet.View, endpoints *endpoint.Registry, name string) reservation.Condition {
	instance := view.Instance(name)
	leaving := instance == nil || instance.Draining || endpoints.Leaving(name)
	return reservation.Condition{Leaving: leaving, Ejected: !leaving && !endpoints.Usable(name)}
}

func newPeerServer(lifecycle fx.Lifecycle, options *Options, members *swim.Service, reservations *reservation.Service, shared *feed.Service, origins *origin.Service, quarantines *quarantine.Service, quotas *quota.Service, ring *timeline.Ring, registry *metrics.Registry) (*peer.Server, error) {
	server, err := peer.NewServer(
		peer.Options{Listen: options.PeerAddress, Insecure: true},
		members.Peer(), reservations.Handler(), shared.Handler(), origins.Handler(), quarantines.Handler(), quotas.Handler(), timelinerpc.NewHandler(ring),
	)
	if err != nil {
		return nil, err
	}
	registry.Mount("peer_server", server.Vars())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return server.Start() },
		OnStop:  func(ctx context.Context) error { return shutdownPeerServer(ctx, server, options.Log) },
	})
	return server, nil
}

// peerShutdownTimeout limits the shutdown of the listener for peers. By then the
// peers have been notified that this VM is leaving; without the limit, the HTTP/2
// shutdown would wait a second for their connections.
const peerShutdownTimeout = 100 * time.Millisecond

// shutdowner is a server that can be shut down. Calls still in flight when the
// context ends are cut off.
type shutdowner interface {
	Shutdown(ctx context.Context) error
}

// shutdownPeerServer shuts the listener for peers down. Calls that are cut off are
// not an error, because their callers retry with the next owner.
func shutdownPeerServer(ctx context.Context, server shutdowner, log *decisionlog.Log) error {
	limited, cancel := context.WithTimeout(ctx, peerShutdownTimeout)
	defer cancel()
	err := server.Shutdown(limited)
	if errors.Is(err, context.DeadlineExceeded) {
		log.Change("calls of peers were cut off", logrus.Fields{"after_ms": peerShutdownTimeout.Milliseconds()})
		return nil
	}
	return err
}

// applyEntryVMs applies a new list of entry VMs that have announced themselves.
func applyEntryVMs(options *Options, members *swim.Service, budgets *retry.Shared, hedger *hedge.Hedger, vms []fleet.EntryVM) {
	options.Fleet.SetEntryVMs(vms)
	budgets.Divide(max(len(vms), len(members.Members())))
	names := make([]string, len(vms))
	addresses := make(map[string]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
		if vm.Name != options.VM {
			addresses[vm.Name] = vm.Address
		}
	}
	hedger.SetVMs(names)
	members.SetCandidates(addresses)
}
