package measure

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
	"github.com/ospreyshed/ospreyshed/internal/standin/logstore"
	"github.com/ospreyshed/ospreyshed/internal/standin/plain"
	"github.com/ospreyshed/ospreyshed/internal/standin/vmlist"
)

// FaultKind identifies a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultCrash crashes an engine and keeps it down. The replies of a plain
	// service are cut short instead.
	FaultCrash FaultKind = "engine-crash"
	// FaultStall stalls all KV cache transfers to the endpoint.
	FaultStall FaultKind = "stalled-transfer"
	// FaultSlow makes an engine slower by slowFactor. The answers of a plain
	// service are delayed by lateDelay instead.
	FaultSlow FaultKind = "slow-engine"
	// FaultLate delays the answers of the endpoint by lateDelay.
	FaultLate FaultKind = "late-answers"
	// FaultCrossed mixes answers to other attempts into those of the endpoint.
	FaultCrossed FaultKind = "crossed-answers"
	// FaultCacheEvents drops all cache events of all engines.
	FaultCacheEvents FaultKind = "cache-events-lost"
	// FaultLeaving marks the endpoint as leaving until the end of the run.
	FaultLeaving FaultKind = "endpoint-leaving"
	// FaultVMStop gracefully shuts down the entry VM that Endpoint names.
	FaultVMStop FaultKind = "vm-stopped"
	// FaultLogOutage is an outage of the log service.
	FaultLogOutage FaultKind = "log-away"
	// FaultListStale freezes the list of VMs.
	FaultListStale FaultKind = "vm-list-stale"
)

// FaultKinds returns all kinds of fault.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultCrash, FaultStall, FaultSlow, FaultLate, FaultCrossed,
		FaultCacheEvents, FaultLeaving, FaultVMStop, FaultLogOutage, FaultListStale,
	}
}

// Fault is a failure that is injected during a run.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Endpoint is the name of the engine, plain service or entry VM, for the
	// kinds that affect a single one. If it is empty, the fault affects the
	// engine that decodes the most requests at Start.
	Endpoint string `json:"endpoint"`
	// Start is the time since the start of the run.
	Start    configuration.Duration `json:"start"`
	Duration configuration.Duration `json:"duration"`
}

const (
	slowFactor   = 4
	lateDelay    = 300 * time.Millisecond
	crossedShare = 0.02
	// leavingGrace is the grace period after which a leaving endpoint must not
	// receive work.
	leavingGrace = 3 * time.Second
)

// faultName joins the names of faults.
func faultName(faults []Fault) string {
	names := make([]string, len(faults))
	for i, f := range faults {
		names[i] = string(f.Kind)
	}
	return strings.Join(names, " + ")
}

// faultInjector injects the faults of a run.
type faultInjector struct {
	site         *localsite.Site
	loadBalancer *balancer
	stop         context.CancelFunc
	injections   sync.WaitGroup

	// stopMu serializes the shutdowns of VMs.
	stopMu sync.Mutex
	// mu guards the faults of the stand-ins, which several kinds change, and
	// workAtGraceEnd.
	mu sync.Mutex
	// workAtGraceEnd holds how much work each leaving endpoint had received at the
	// end of its grace period.
	workAtGraceEnd map[string]int
}

// startFaults starts the injection of faults at their times, which count from
// start.
func startFaults(ctx context.Context, site *localsite.Site, loadBalancer *balancer, start time.Time, faults []Fault) *faultInjector {
	ctx, stop := context.WithCancel(ctx)
	run := &faultInjector{site: site, loadBalancer: loadBalancer, stop: stop, workAtGraceEnd: make(map[string]int)}
	for _, f := range faults {
		run.injections.Go(func() { run.inject(ctx, start, &f) })
	}
	return run
}

// inject injects a fault for its duration.
func (r *faultInjector) inject(ctx context.Context, start time.Time, f *Fault) {
	if !sleepUntil(ctx, start.Add(f.Start.D())) {
		return
	}
	if f.Endpoint == "" {
		f.Endpoint = r.busiest()
	}
	switch f.Kind {
	case FaultLeaving:
		r.leave(ctx, f.Endpoint)
		return
	case FaultVMStop:
		r.stopVM(context.WithoutCancel(ctx), f.Endpoint)
		return
	}
	r.set(f, true)
	sleepUntil(ctx, start.Add(f.Start.D()+f.Duration.D()))
	r.set(f, false)
}

// busiest returns the name of the engine that decodes the most requests. Ties are
// broken by name.
func (r *faultInjector) busiest() string {
	engines := r.site.Platform.Engines
	busiest, most := "", -1
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		c := engines[name].Counts()
		if active := c.Active + c.Importing; active > most {
			busiest, most = name, active
		}
	}
	return busiest
}

// leave marks an endpoint as leaving and records how much work it has received by
// the end of its grace period.
func (r *faultInjector) leave(ctx context.Context, name string) {
	r.site.Platform.Leave(name)
	if !sleepUntil(ctx, time.Now().Add(leavingGrace)) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workAtGraceEnd[name] = r.afterLeaving(name)
}

// stopVM shuts down an entry VM. The balancer stops sending requests to it within
// its configured lag.
func (r *faultInjector) stopVM(ctx context.Context, name string) {
	r.stopMu.Lock()
	defer r.stopMu.Unlock()
	if _, running := r.site.VMs[name]; !running {
		return
	}
	lag := r.site.Bundle.Fleet.Times.BalancerLag.D()
	vm := slices.IndexFunc(r.site.Bundle.Fleet.VMs, func(vm configuration.VM) bool { return vm.Name == name })
	timer := time.AfterFunc(lag/2, func() { r.loadBalancer.remove(vm) })
	defer timer.Stop()
	// The error is ignored because requests that a shutdown interrupts are
	// recorded with incomplete answers.
	_ = r.site.StopVM(ctx, name)
}

// afterLeaving returns how much work an endpoint has received since it began to
// leave.
func (r *faultInjector) afterLeaving(name string) int {
	if server, ok := r.site.Platform.Engines[name]; ok {
		return server.Counts().AfterLeaving
	}
	if server, ok := r.site.Platform.Plain[name]; ok {
		return server.Counts().AfterLeaving
	}
	return 0
}

// end clears all faults and returns how much work each leaving endpoint received
// after its grace period.
func (r *faultInjector) end() map[string]int {
	r.stop()
	r.injections.Wait()
	workAfterGrace := make(map[string]int, len(r.workAtGraceEnd))
	for name, before := range r.workAtGraceEnd {
		workAfterGrace[name] = r.afterLeaving(name) - before
	}
	return workAfterGrace
}

// set sets or clears a fault.
func (r *faultInjector) set(f *Fault, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	platform := r.site.Platform
	switch f.Kind {
	case FaultLogOutage:
		platform.Log.SetFaults(logstore.Faults{Outage: on})
	case FaultListStale:
		platform.VMList.SetFaults(vmlist.Faults{Stale: on})
	case FaultCacheEvents:
		for _, server := range platform.Engines {
			setEngineFault(server, f.Kind, on)
		}
	default:
		if server, ok := platform.Engines[f.Endpoint]; ok {
			setEngineFault(server, f.Kind, on)
		}
		if server, ok := platform.Plain[f.Endpoint]; ok {
			setPlainFault(server, f.Kind, on)
		}
	}
}

func setEngineFault(server *engine.Server, kind FaultKind, on bool) {
	faults := server.Faults()
	switch kind {
	case FaultCrash:
		faults.Down = on
	case FaultStall:
		faults.StallTransfers = on
	case FaultSlow:
		faults.Slow = ifOn(on, slowFactor)
	case FaultLate:
		faults.LateAnswers = configuration.Duration(ifOn(on, float64(lateDelay)))
	case FaultCrossed:
		faults.CrossAnswers = ifOn(on, crossedShare)
	case FaultCacheEvents:
		faults.LoseCacheEvents = ifOn(on, 1)
	}
	server.SetFaults(faults)
}

func setPlainFault(server *plain.Server, kind FaultKind, on bool) {
	faults := server.Faults()
	switch kind {
	case FaultSlow, FaultLate:
		faults.Slow = configuration.Duration(ifOn(on, float64(lateDelay)))
	case FaultCrash:
		faults.CutReplies = on
	}
	server.SetFaults(faults)
}

func ifOn(on bool, value float64) float64 {
	if on {
		return value
	}
	return 0
}
