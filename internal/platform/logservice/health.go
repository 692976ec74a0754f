package logservice

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Health is a Service that detects outages of another one. Appends and reads
// have a circuit breaker each: consecutive failures open it, then calls fail at
// once, and single probes with rising pauses find out when the service is back.
// Changes of state are recorded in the time line.
type Health struct {
	service  Service
	recorder timeline.Recorder
	appends  guarded
	reads    guarded
}

// guarded is a circuit with its name and counters.
type guarded struct {
	circuit
	name             string
	failed, rejected expvar.Int
}

var _ Service = (*Health)(nil)

// NewHealth returns a Health in front of a service.
func NewHealth(service Service, recorder timeline.Recorder) *Health {
	return &Health{
		service:  service,
		recorder: recorder,
		appends:  guarded{name: "append"},
		reads:    guarded{name: "read"},
	}
}

// Vars returns the counters of the Health.
func (h *Health) Vars() *expvar.Map {
	vars := new(expvar.Map)
	for _, g := range []*guarded{&h.appends, &h.reads} {
		vars.Set(g.name+"_failed", &g.failed)
		vars.Set(g.name+"_rejected", &g.rejected)
		vars.Set(g.name+"_away", expvar.Func(func() any { return g.away() }))
	}
	return vars
}

// AppendsAway reports whether the service takes no appends as far as is known.
func (h *Health) AppendsAway() bool { return h.appends.away() }

// ReadsAway reports whether the service answers no reads as far as is known.
func (h *Health) ReadsAway() bool { return h.reads.away() }

// Append implements Service.
func (h *Health) Append(ctx context.Context, stream string, entries []Entry) (uint64, error) {
	if h.appends.permit() == refused {
		h.appends.rejected.Add(1)
		return 0, Outage.New("the log takes no appends")
	}
	first, err := h.service.Append(ctx, stream, entries)
	h.note(&h.appends, ctx, err)
	return first, err
}

// Read implements Service. A probe does not wait for records.
func (h *Health) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	switch h.reads.permit() {
	case refused:
		h.reads.rejected.Add(1)
		return Page{}, Unreadable.New("the log answers no reads")
	case probe:
		wait = 0
	}
	page, err := h.service.Read(ctx, stream, from, limit, wait)
	h.note(&h.reads, ctx, err)
	return page, err
}

// note counts the outcome of a call. A call that its caller cancelled says
// nothing about the service; an answer other than an outage says it is there.
func (h *Health) note(g *guarded, ctx context.Context, err error) {
	switch {
	case err == nil || errorx.IsOfType(err, Throttled) || errorx.IsOfType(err, Refused):
		if g.succeed() {
			h.recorder.Record(timeline.LogBack, "", g.name)
		}
	case errors.Is(ctx.Err(), context.Canceled):
		g.forgo()
	default:
		g.failed.Add(1)
		if g.fail() {
			h.recorder.Record(timeline.LogAway, "", g.name)
		}
	}
}
