package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/ospreyshed/ospreyshed/internal/background"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/endpoint"
	"github.com/ospreyshed/ospreyshed/internal/engine/openai"
	"github.com/ospreyshed/ospreyshed/internal/reservation"
)

const (
	// loadPollInterval is the time between two polls of all engines.
	loadPollInterval = 500 * time.Millisecond
	// loadTimeout limits one poll of all engines.
	loadTimeout = time.Second
)

// loadPoller fetches the load reports and prefix cache events of the engines whose
// reservations this VM owns, so that only one VM of its zone polls an engine.
type loadPoller struct {
	zone      string
	store     *configuration.Store
	pool      *openai.Pool
	endpoints *endpoint.Registry
	service   *reservation.Service
	positions cacheEventPositions
}

func runLoadPoller(lifecycle fx.Lifecycle, id Identity, store *configuration.Store, pool *openai.Pool, endpoints *endpoint.Registry, service *reservation.Service) {
	p := &loadPoller{zone: id.Zone, store: store, pool: pool, endpoints: endpoints, service: service}
	p.positions.next = make(map[string]uint64)
	background.Run(lifecycle, p.run)
}

func (p *loadPoller) run(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.poll(ctx)
		}
	}
}

// poll polls all engines of the owned models once.
func (p *loadPoller) poll(ctx context.Context) {
	snapshot := p.store.Snapshot()
	if snapshot == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for model := range p.service.Status() {
		for _, role := range []configuration.Role{configuration.RolePrefill, configuration.RoleDecode} {
			for _, e := range snapshot.Engines(model, role, p.zone) {
				if e.ReportsLoad {
					calls.Go(func() { p.pollLoad(ctx, e.Name) })
				}
				if role == configuration.RolePrefill {
					calls.Go(func() { p.pollCacheEvents(ctx, e) })
				}
			}
		}
	}
	calls.Wait()
}

func (p *loadPoller) pollLoad(ctx context.Context, name string) {
	client, found := p.pool.Engine(name)
	if !found {
		return
	}
	report, err := client.Load(ctx)
	if err != nil {
		return
	}
	if report.Leaving {
		p.endpoints.MarkLeaving(name)
	}
	p.service.ObserveLoad(name, report)
}
