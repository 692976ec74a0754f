package lease

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// stepInterval is the interval between two checks of the leases.
const stepInterval = 250 * time.Millisecond

// Appender appends entries to the log; logservice.Appender implements it.
type Appender interface {
	Append(ctx context.Context, stream string, purpose logservice.Purpose, entry logservice.Entry) (uint64, error)
}

// Dependencies holds the dependencies of a Manager.
type Dependencies struct {
	Log      logservice.Service
	Appender Appender
	View     membership.View
	Events   timeline.Recorder
}

// Manager holds this VM's leases. It is safe for concurrent use.
//
// A record takes effect here only after it was read back from the log, so a lost
// response to an append needs no special handling: until then this VM does not use
// the lease, and if the append succeeded, other VMs see the lease as held.
type Manager struct {
	// Counters are exported as metrics.
	Counters Counters

	deps    Dependencies
	terms   Terms
	holder  Holder
	appends sync.WaitGroup

	mu       sync.Mutex
	fold     *Fold
	caughtUp bool
	clock    logClock
	leases   map[string]*localLease
	sequence uint64
	// appendStarts holds the start times of appends whose record was not read back
	// yet, by entry id.
	appendStarts map[string]time.Time

	exclusions atomic.Pointer[exclusions]
}

// logClock estimates the log service's clock between reads.
type logClock struct{ logTime, localTime time.Time }

func (c logClock) now() time.Time { return c.logTime.Add(time.Since(c.localTime)) }

// NewManager returns a Manager; Run starts it.
func NewManager(deps Dependencies, terms Terms) *Manager {
	self := deps.View.Self()
	m := &Manager{
		deps:         deps,
		terms:        terms,
		holder:       Holder{VM: self.VM, Incarnation: self.Incarnation},
		fold:         NewFold(terms),
		leases:       make(map[string]*localLease),
		appendStarts: make(map[string]time.Time),
	}
	m.exclusions.Store(&exclusions{})
	return m
}

// Run acquires and renews leases until the context ends, then releases them.
func (m *Manager) Run(ctx context.Context) error {
	var tail sync.WaitGroup
	defer tail.Wait()
	tailer := logservice.NewTailer(m.deps.Log, logservice.TailerOptions{Stream: Stream})
	tail.Go(func() { _ = tailer.Run(ctx, m.applyBatch) })
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.appends.Wait()
			m.releaseAll(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
			m.step(ctx)
		}
	}
}

// Want sets the leases that this VM tries to hold. Others are released.
func (m *Manager) Want(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.leases {
		l.wanted = slices.Contains(names, name)
	}
	for _, name := range names {
		if m.leases[name] == nil {
			m.leases[name] = &localLease{name: name, wanted: true}
		}
	}
}

// Held returns the grant of a lease if this VM may send orders under it now.
func (m *Manager) Held(name string) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[name]
	if l == nil || !l.wanted || l.grant == nil || !l.grant.Valid() {
		return Grant{}, false
	}
	return *l.grant, true
}

// Raise requests a higher fencing number for a held lease, because an engine has
// seen a higher one from the holder of another lease.
func (m *Manager) Raise(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.leases[name]; l != nil {
		l.raiseFencing = true
	}
}

// Exclude sets the endpoints that get no new work while this VM holds a lease.
// It is in effect everywhere once all VMs have read it from the log; see Excluded.
func (m *Manager) Exclude(name string, endpoints []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.leases[name]; l != nil {
		l.excluded = slices.Sorted(slices.Values(endpoints))
	}
}
