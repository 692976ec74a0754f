package order

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/lease"
)

const (
	// passInterval is the time between passes while an engine is not in its
	// desired state.
	passInterval = time.Second
	// convergedInterval is the time between passes while all engines of a pool
	// are in their desired state.
	convergedInterval = 5 * time.Second
)

// Reconciler sends orders to the engines of the pools whose lease this VM
// holds.
type Reconciler struct {
	// Counters are published as metrics.
	Counters Counters

	options Options
	pools   map[string]*pool
}

// New returns a Reconciler. Call Run to start it.
func New(options Options) *Reconciler {
	return &Reconciler{options: options, pools: make(map[string]*pool)}
}

// Run reconciles until the context ends and returns the context's error.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.reconcile(ctx)
		}
	}
}

// reconcile makes one pass over all pools that are due.
func (r *Reconciler) reconcile(ctx context.Context) {
	snapshot := r.options.Configuration.Snapshot()
	if snapshot == nil {
		return
	}
	wanted := r.zonePools(snapshot)
	r.options.Leases.Want(leaseNames(wanted))
	var passes sync.WaitGroup
	for _, p := range wanted {
		passes.Go(func() { r.reconcilePool(ctx, snapshot, p, len(wanted)) })
	}
	passes.Wait()
	r.updateOutOfService()
}

// zonePools returns the pools of the zone and drops those that are no longer
// configured.
func (r *Reconciler) zonePools(snapshot *configuration.Snapshot) []*pool {
	pools := make(map[string]*pool)
	var wanted []*pool
	for _, model := range snapshot.Models() {
		if len(engines(snapshot, model, r.options.Zone)) == 0 {
			continue
		}
		p := r.pools[model]
		if p == nil {
			p = newPool(model, lease.Name(r.options.Zone, model))
		}
		pools[model] = p
		wanted = append(wanted, p)
	}
	r.pools = pools
	return wanted
}

func leaseNames(pools []*pool) []string {
	names := make([]string, len(pools))
	for i, p := range pools {
		names[i] = p.lease
	}
	return names
}

// engines returns the engines of a model in a zone, in all roles.
func engines(snapshot *configuration.Snapshot, model, zone string) []*configuration.Endpoint {
	var all []*configuration.Endpoint
	for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
		all = append(all, snapshot.Engines(model, role, zone)...)
	}
	return all
}

func (r *Reconciler) updateOutOfService() {
	count := 0
	for _, p := range r.pools {
		count += len(p.tasks)
	}
	r.Counters.OutOfService.Store(int64(count))
}
