package node

import (
	"slices"
	"time"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/feed"
	"github.com/ospreyshed/ospreyshed/internal/fleet"
	"github.com/ospreyshed/ospreyshed/internal/hedge"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/membership/swim"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/origin"
	"github.com/ospreyshed/ospreyshed/internal/quarantine"
	"github.com/ospreyshed/ospreyshed/internal/quota"
	"github.com/ospreyshed/ospreyshed/internal/relay"
	"github.com/ospreyshed/ospreyshed/internal/reservation"
	"github.com/ospreyshed/ospreyshed/internal/retry"
	"github.com/ospreyshed/ospreyshed/internal/roles"
	"github.com/ospreyshed/ospreyshed/internal/upstream"
)

const (
	// dialTimeout limits connecting to an endpoint. The latency between zones is a
	// few milliseconds, so a longer time indicates a partition or a full accept
	// queue.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout closes a connection whose peer acknowledges no data for this long.
	unackedTimeout = time.Second
	// idleTimeout is how long an idle connection is kept if the endpoint announces no
	// timeout.
	idleTimeout = 4 * time.Second
	// maxIdleConnections limits the idle connections to one endpoint.
	maxIdleConnections = 16
)

// relayModule provides the request path, and runs the balancer of engine roles and
// the adapter's background work.
var relayModule = fx.Module("relay",
	fx.Provide(newClient, newEngineCalls, newBudgets, newHedger, newRelay, newIngress),
	fx.Invoke(runBackground, runBalancer),
)

func newClient(lifecycle fx.Lifecycle, options *Options, registry *metrics.Registry) *upstream.Client {
	client := upstream.NewClient(upstream.Options{
		DialTimeout:    dialTimeout,
		UnackedTimeout: unackedTimeout,
		IdleTimeout:    idleTimeout,
		MaxIdle:        maxIdleConnections,
		IDHeader:       options.IDHeader,
	})
	registry.Mount("upstream", metrics.Fields(&client.Counters))
	background.Run(lifecycle, client.Run)
	return client
}

// newEngineCalls returns what orders engines and identifies their processes.
func newEngineCalls(options *Options, client *upstream.Client, endpoints *endpoint.Registry) EngineCalls {
	return options.Orders(client, endpoints)
}

func newBudgets(options *Options) *retry.Shared {
	return retry.NewShared(options.RetryRatio, options.RetrySlack)
}

// newHedger returns what is needed to hedge requests; the relay gets it only if the operator allows hedges.
func newHedger(options *Options, registry *metrics.Registry) *hedge.Hedger {
	hedger := hedge.New(options.VM, options.Hedging, nil)
	registry.Mount("hedge", metrics.Fields(&hedger.Counters))
	return hedger
}

// relayParams are the dependencies of the relay.
type relayParams struct {
	fx.In
	Lifecycle    fx.Lifecycle
	Options      *Options
	Endpoints    *endpoint.Registry
	Reservations *reservation.Service
	Budgets      *retry.Shared
	Hedger       *hedge.Hedger
	Client       *upstream.Client
	Registry     *metrics.Registry
	Origins      *origin.Service
	EngineCalls  EngineCalls
	Quarantine   *quarantine.Service
	Quotas       *quota.Service
	Feed         *feed.Service
	Members      *swim.Service
}

func newRelay(p relayParams) *relay.Relay {
	hedger := p.Hedger
	if !p.Options.Hedging.Enabled() {
		hedger = nil
	}
	endpointsAge := func() time.Duration { return p.Feed.Age(p.Options.EndpointTopic) }
	configurationAge := func() time.Duration { return p.Feed.Age(p.Options.ConfigurationTopic) }
	history := newHistoryMonitor(p.Options, p.Members, func() time.Duration { return max(endpointsAge(), configurationAge()) })
	background.Run(p.Lifecycle, history.run)
	r := relay.New(relay.Options{
		VM:               p.Options.VM,
		Incarnation:      p.Options.Incarnation,
		Zone:             p.Options.Zone,
		Fleet:            p.Options.Fleet,
		EndpointsAge:     endpointsAge,
		ConfigurationAge: configurationAge,
		Endpoints:        p.Endpoints,
		Reserver:         p.Reservations,
		Admission:        p.Reservations,
		Budget:           p.Budgets,
		Client:           p.Client,
		InFlight:         p.Options.InFlight,
		Origins:          p.Origins,
		Builds:           p.Options.Builds.History,
		PlainBuilds:      p.Options.Builds.Plain,
		HistoryComplete:  history.complete,
		Incarnations:     p.EngineCalls,
		Quarantine:       p.Quarantine,
		Quotas:           p.Quotas,
		Hedger:           hedger,
		Dialect:          p.Options.Dialect,
		Log:              p.Options.Log,
	})
	p.Registry.Mount("relay", metrics.Fields(&r.Counters))
	p.Registry.Mount("relay_plain_answers", r.PlainAnswers.Vars())
	p.Registry.Mount("relay_first_events", r.FirstEvents.Vars())
	p.Registry.Mount("relay_queues", r.Queues.Vars())
	return r
}

func newIngress(options *Options, r *relay.Relay, f *feed.Service) Ingress {
	return options.Ingress(r, f)
}

// runBalancer runs the balancer of engine roles.
func runBalancer(lifecycle fx.Lifecycle, options *Options, calls EngineCalls, endpoints *endpoint.Registry, members *swim.Service, registry *metrics.Registry) {
	balancer := roles.New(roles.Options{
		VM:            options.VM,
		Journal:       options.Journal,
		Orders:        calls,
		HandoverDelay: options.HandoverDelay,
		Engines:       func() []*configuration.Endpoint { return stayingEngines(options.Fleet.View(), endpoints) },
		Quiet:         func(engine string) bool { return endpoints.QuietFor(engine) > 0 },
		Rank:          func() int { return rank(members, options.VM) },
		Clock:         options.Clock,
		Log:           options.Log,
	})
	registry.Mount("roles", metrics.Fields(&balancer.Counters))
	background.Run(lifecycle, balancer.Run)
}

// stayingEngines returns the engines that are not leaving.
func stayingEngines(view *fleet.View, endpoints *endpoint.Registry) []*configuration.Endpoint {
	return slices.DeleteFunc(view.AllEngines(), func(e *configuration.Endpoint) bool { return endpoints.Leaving(e.Name) })
}

// rank returns the position of a VM among the available VMs, ordered by name.
func rank(view membership.View, vm string) int {
	before := 0
	for _, m := range view.Members() {
		if m.Available() && m.VM < vm {
			before++
		}
	}
	return before
}

// runBackground runs the adapter's background work.
func runBackground(lifecycle fx.Lifecycle, options *Options) {
	for _, work := range options.Background {
		background.Run(lifecycle, work)
	}
}
