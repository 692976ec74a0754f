// Package vmlist is a stand-in for the platform's list of VMs, which shows changes
// with a lag.
package vmlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	platform "github.com/ospreyshed/ospreyshed/internal/platform/vmlist"
	"github.com/ospreyshed/ospreyshed/internal/standin/ctxtime"
	"github.com/ospreyshed/ospreyshed/internal/standin/lagged"
)

var namespace = errorx.NewNamespace("standin-vmlist").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Unavailable means that the list cannot be read.
var Unavailable = namespace.NewType("unavailable")

// Options configure a Registry.
type Options struct {
	// Lag is the delay after which the list shows a change.
	Lag configuration.Duration `json:"lag"`
	// VMs are the VMs listed initially.
	VMs []platform.VM `json:"vms"`
}

// Faults are the failures that a Registry can simulate.
type Faults struct {
	// Stale freezes the list as it is visible when the fault is set.
	Stale bool `json:"stale"`
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// Latency is added to the duration of every call.
	Latency configuration.Duration `json:"latency"`
}

// Counts are the counters of a Registry since its start.
type Counts struct {
	Reads uint64 `json:"reads"`
}

// Registry is an in-memory list of VMs. It is safe for concurrent use.
type Registry struct {
	lag time.Duration

	mu     sync.Mutex
	vms    map[string]platform.VM
	shown  lagged.Value[[]platform.VM]
	frozen []platform.VM
	faults Faults
	counts Counts
}

var _ platform.Service = (*Registry)(nil)

// New returns a Registry that lists the VMs of the options without lag.
func New(options Options) *Registry {
	r := &Registry{lag: options.Lag.D(), vms: make(map[string]platform.VM)}
	for _, vm := range options.VMs {
		r.vms[vm.Name] = vm
	}
	r.record()
	return r
}

// Set adds or changes a VM; the list shows it after the lag.
func (r *Registry) Set(vm platform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms[vm.Name] = vm
	r.record()
}

// SetState changes the state of a listed VM; the list shows it after the lag.
func (r *Registry) SetState(name string, state platform.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	vm, ok := r.vms[name]
	if !ok {
		return
	}
	vm.State = state
	r.vms[name] = vm
	r.record()
}

// Remove removes a VM; the list shows it after the lag.
func (r *Registry) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.vms, name)
	r.record()
}

func (r *Registry) record() {
	now := time.Now()
	r.shown.Prune(now.Add(-r.lag))
	r.shown.Set(now, r.sorted())
}

func (r *Registry) sorted() []platform.VM {
	vms := make([]platform.VM, 0, len(r.vms))
	for _, vm := range r.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// List implements platform.Service. It returns an Unavailable error during an
// outage or when ctx ends.
func (r *Registry) List(ctx context.Context) (platform.List, error) {
	if !ctxtime.Sleep(ctx, r.Faults().Latency.D()) {
		return platform.List{}, Unavailable.Wrap(ctx.Err(), "list of VMs")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Outage {
		return platform.List{}, Unavailable.New("the list of VMs is away")
	}
	r.counts.Reads++
	return platform.List{Time: time.Now(), VMs: slices.Clone(r.visible())}, nil
}

func (r *Registry) visible() []platform.VM {
	if r.faults.Stale {
		return r.frozen
	}
	return r.shown.At(time.Now().Add(-r.lag))
}

// Faults returns the current faults.
func (r *Registry) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// SetFaults replaces the faults.
func (r *Registry) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if faults.Stale {
		r.frozen = r.visible()
	}
	r.faults = faults
}

// Counts returns the counters.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
