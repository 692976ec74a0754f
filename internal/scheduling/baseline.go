package scheduling

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
)

// picker chooses one of several engines; there is at least one.
type picker interface {
	pick(candidates []*baselineEngine) *baselineEngine
}

// baselineEngine is an engine with the load known to a baseline policy.
type baselineEngine struct {
	EngineState
	load engine.LoadReport
	// sent counts this policy's grants since the last report.
	sent int
}

// reportedLoad returns the number of requests that the engine reported.
func (r *baselineEngine) reportedLoad() int { return r.load.Active + r.load.Queued }

// baseline is a Policy that grants every demand at once, without a ledger.
type baseline struct {
	engines map[string]*baselineEngine
	prefill []*baselineEngine
	decode  []*baselineEngine
	// pickPrefill and pickDecode are separate because pickers have state.
	pickPrefill, pickDecode picker
}

func newBaseline(prefill, decode picker) *baseline {
	return &baseline{engines: make(map[string]*baselineEngine), pickPrefill: prefill, pickDecode: decode}
}

// Submit implements Policy.
func (b *baseline) Submit(_ time.Time, d Demand) Outcome {
	prefill := candidates(b.prefill, d.Exclude)
	decode := candidates(b.decode, d.Exclude)
	if len(prefill) == 0 || len(decode) == 0 {
		return Outcome{ID: d.ID, Refusal: &Refusal{Reason: RefusedNoEngine, RetryAfter: noEngineRetryAfter}}
	}
	p, e := b.pickPrefill.pick(prefill), b.pickDecode.pick(decode)
	p.sent++
	e.sent++
	return Outcome{ID: d.ID, Grant: &Grant{ID: d.ID, Prefill: p.Name, Decode: e.Name}}
}

func candidates(engines []*baselineEngine, exclude []string) []*baselineEngine {
	var usable []*baselineEngine
	for _, e := range engines {
		if e.usable() && !e.load.Leaving && !slices.Contains(exclude, e.Name) {
			usable = append(usable, e)
		}
	}
	return usable
}

// SetEngines implements Policy.
func (b *baseline) SetEngines(_ time.Time, states []EngineState) {
	b.prefill, b.decode = nil, nil
	for _, state := range states {
		e, ok := b.engines[state.Name]
		if !ok {
			e = &baselineEngine{}
			b.engines[state.Name] = e
		}
		e.EngineState = state
		if state.Role == configuration.RolePrefill {
			b.prefill = append(b.prefill, e)
		} else {
			b.decode = append(b.decode, e)
		}
	}
}

// ObserveLoad implements Policy.
func (b *baseline) ObserveLoad(_ time.Time, name string, report engine.LoadReport) {
	if e, ok := b.engines[name]; ok {
		e.load = report
		e.sent = 0
	}
}

// Cancel implements Policy.
func (b *baseline) Cancel(time.Time, engine.AttemptID) {}

// Progress implements Policy.
func (b *baseline) Progress(time.Time, Progress) {}

// Renew implements Policy.
func (b *baseline) Renew(time.Time, string, uint64, []Held) int { return 0 }

// HolderGone implements Policy.
func (b *baseline) HolderGone(time.Time, string, uint64) {}

// CacheEvents implements Policy.
func (b *baseline) CacheEvents(time.Time, string, []CacheEvent, bool) {}

// Tick implements Policy.
func (b *baseline) Tick(time.Time) []Outcome { return nil }

// NextWake implements Policy.
func (b *baseline) NextWake(now time.Time) time.Time { return now.Add(idleWakeInterval) }
