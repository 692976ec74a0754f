// Package daemon wires the packages of an entry VM's process with fx.
//
// A graceful shutdown runs in this order: readiness checks start to fail; requests
// are served until the load balancer's lag has passed; the listener for callers
// closes and requests in flight finish; cancels and outcomes are flushed; the
// listener for peers and all background work stop.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/settings"
)

// Identity identifies this process.
type Identity struct {
	// VM is the entry VM's name, Zone its availability zone.
	VM, Zone string
	// Incarnation is unique among all starts of the VM.
	Incarnation uint64
}

// randomBits is the number of random bits in an incarnation. They distinguish two
// starts in the same millisecond of a clock that was set back.
const randomBits = 10

// NewIncarnation returns a number that increases with each start: the wall clock
// in milliseconds followed by random bits.
func NewIncarnation() uint64 {
	var random [2]byte
	_, _ = rand.Read(random[:])
	low := uint64(binary.BigEndian.Uint16(random[:])) & (1<<randomBits - 1)
	return uint64(time.Now().UnixMilli())<<randomBits | low
}

// IncarnationStart returns the wall-clock time at which the process with an incarnation started.
func IncarnationStart(incarnation uint64) time.Time {
	return time.UnixMilli(int64(incarnation >> randomBits))
}

const (
	startTimeout = 15 * time.Second
	// stopTimeout limits a graceful shutdown. It exceeds every configured drain limit.
	stopTimeout = time.Hour
)

// Daemon is one entry VM's process.
type Daemon struct {
	app     *fx.App
	callers *callerServer
	peers   *peerServer
	store   *configuration.Store
	metrics *metrics.Registry
}

// Option changes how a daemon is wired. It is meant for measurements and tests and
// is not available as a setting.
type Option fx.Option

// WithReserver replaces the component that assigns engines to requests.
func WithReserver(reserver completion.Reserver) Option {
	return fx.Decorate(func(completion.Reserver) completion.Reserver { return reserver })
}

// New wires a daemon; Start starts it.
func New(conf *settings.Settings, log logrus.FieldLogger, options ...Option) *Daemon {
	d := &Daemon{}
	d.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(conf, Identity{VM: conf.VM, Zone: conf.Zone, Incarnation: NewIncarnation()}),
		fx.Provide(func() logrus.FieldLogger { return log }),
		platformModule,
		controlModule,
		membersModule,
		ordersModule,
		pathModule,
		serverModule,
		optionsOf(options),
		fx.Populate(&d.callers, &d.peers, &d.store, &d.metrics),
	)
	return d
}

func optionsOf(options []Option) fx.Option {
	all := make([]fx.Option, len(options))
	for i, option := range options {
		all[i] = option
	}
	return fx.Options(all...)
}

// Start starts the daemon. It returns once both listeners are open.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return d.app.Start(ctx)
}

// Stop shuts the daemon down gracefully.
func (d *Daemon) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return d.app.Stop(ctx)
}

// CallerAddr returns the IP address and port of the listener for callers.
func (d *Daemon) CallerAddr() string { return d.callers.addr() }

// PeerAddr returns the IP address and port of the listener for peers.
func (d *Daemon) PeerAddr() string { return d.peers.addr() }

// Ready reports whether the daemon has a configuration in force and is known to the
// other entry VMs.
func (d *Daemon) Ready() bool { return d.callers.gateway.Ready() }

// Metrics returns the daemon's counters.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }

// Version returns the version of a subject of the configuration in force, 0 if
// there is none.
func (d *Daemon) Version(subject string) uint64 {
	snapshot := d.store.Snapshot()
	if snapshot == nil {
		return 0
	}
	return snapshot.Version(subject)
}
