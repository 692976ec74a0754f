package orphan

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/metrics"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const (
	// callsPerSecond and callBurst limit the calls that this VM sends, so that
	// the loss of many VMs causes no burst.
	callsPerSecond = 50
	callBurst      = 20
	// maxCallsInFlight limits the number of concurrent calls.
	maxCallsInFlight = 16
	callTimeout      = 2 * time.Second
	// maxIdleWait is the longest time between two checks of the queue.
	maxIdleWait = time.Second
	// maxGoneProcesses limits the processes that are remembered as gone, and
	// maxTasks the cancels that are scheduled.
	maxGoneProcesses = 1024
	maxTasks         = 16384
)

// Configuration provides the snapshot in force.
type Configuration interface {
	Snapshot() *configuration.Snapshot
}

// Clients looks up engine clients by endpoint name.
type Clients interface {
	Engine(name string) (engine.Client, bool)
}

// Holders releases the engine capacity that a process held.
type Holders interface {
	HolderGone(vm string, incarnation uint64)
}

// Params are the inputs of a Service.
type Params struct {
	View          membership.View
	Configuration Configuration
	Clients       Clients
	Events        timeline.Recorder
	// Holders may be nil.
	Holders Holders
}

// counters are the metrics of the service.
type counters struct {
	// Deaths counts processes reported as gone, Refuted cancels dropped because
	// the process turned out to be alive.
	Deaths, Refuted atomic.Int64
	// Sent counts cancel calls, Failed those without an acknowledgement,
	// Confirmed cancels that an engine acknowledged.
	Sent, Failed, Confirmed atomic.Int64
	// Abandoned counts cancels given up after maxRetryDuration, EngineGone those
	// whose engine left the configuration.
	Abandoned, EngineGone atomic.Int64
	// Pending is the number of cancels not yet acknowledged.
	Pending atomic.Int64
}

// goneProcess is the state of a process that is gone.
type goneProcess struct {
	reportedAt time.Time
	// done holds the engines on which this VM has nothing left to do.
	done map[string]bool
}

// Service cancels the engine work of processes that are gone. MemberGone may be
// called from any goroutine.
type Service struct {
	params   Params
	counters counters
	limiter  *rate.Limiter
	// engines returns the engines of the configuration in force.
	engines func() []*configuration.Endpoint

	mu sync.Mutex
	// reported are processes that Run has not handled yet.
	reported []processID
	wakeup   chan struct{}

	// The fields below are used by the goroutine of Run only.
	gone     map[processID]*goneProcess
	queue    *queue
	probes   map[string]*probe
	results  chan result
	inFlight int
}

// result is the outcome of one call.
type result struct {
	// task is nil for a probe.
	task *task
	// engine is the engine that was probed.
	engine string
	err    error
	// responded is the outcome of a probe.
	responded bool
	// notConfigured reports that the engine has left the configuration.
	notConfigured bool
}

// New returns a service that sends cancels while Run runs.
func New(params Params) *Service {
	return &Service{
		params:  params,
		engines: func() []*configuration.Endpoint { return enginesOf(params.Configuration.Snapshot()) },
		limiter: rate.NewLimiter(callsPerSecond, callBurst),
		wakeup:  make(chan struct{}, 1),
		gone:    make(map[processID]*goneProcess),
		queue:   newQueue(),
		probes:  make(map[string]*probe),
		results: make(chan result),
	}
}

// Vars returns the counters of the service.
func (s *Service) Vars() *expvar.Map { return metrics.Fields(&s.counters) }

// MemberGone reports that an incarnation of an entry VM is gone. It does not
// block.
func (s *Service) MemberGone(m membership.Member) {
	s.mu.Lock()
	s.reported = append(s.reported, processID{vm: m.VM, incarnation: m.Incarnation})
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Run sends cancels until the context ends.
func (s *Service) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		s.handleReported(time.Now())
		s.send(ctx, &calls)
		timer := time.NewTimer(s.untilNextCall(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wakeup:
		case done := <-s.results:
			s.handleResult(time.Now(), done)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// handleReported records the reported processes and plans the cancels of all
// recent ones again, because a VM that was to send them may be gone itself.
func (s *Service) handleReported(now time.Time) {
	s.mu.Lock()
	reported := s.reported
	s.reported = nil
	s.mu.Unlock()
	if len(reported) == 0 {
		return
	}
	for _, p := range reported {
		s.counters.Deaths.Add(1)
		s.gone[p] = &goneProcess{reportedAt: now, done: make(map[string]bool)}
		if s.params.Holders != nil {
			s.params.Holders.HolderGone(p.vm, p.incarnation)
		}
	}
	s.prune(now)
	for p, g := range s.gone {
		s.schedule(now, p, g)
	}
}

// prune drops processes that have been gone for maxRetryDuration, and the
// oldest ones beyond maxGoneProcesses.
func (s *Service) prune(now time.Time) {
	maps.DeleteFunc(s.gone, func(_ processID, g *goneProcess) bool { return now.Sub(g.reportedAt) >= maxRetryDuration })
	if len(s.gone) <= maxGoneProcesses {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(s.gone), func(a, b processID) int {
		return s.gone[a].reportedAt.Compare(s.gone[b].reportedAt)
	})
	for _, p := range oldest[:len(oldest)-maxGoneProcesses] {
		delete(s.gone, p)
	}
}

// schedule adds the tasks of a gone process that are assigned to this VM.
func (s *Service) schedule(now time.Time, p processID, g *goneProcess) {
	for _, a := range plan(p, s.params.View.Self().VM, s.params.View.Members(), s.engines()) {
		if g.done[a.engine] || len(s.queue.byKey) >= maxTasks {
			continue
		}
		t := &task{taskKey: taskKey{process: p, engine: a.engine}, remote: a.remote, started: now, due: now.Add(a.delay)}
		if s.queue.add(t) {
			s.counters.Pending.Add(1)
		}
	}
}
