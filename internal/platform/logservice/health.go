package logservice

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// Health is a Service that detects outages of the Service it wraps. Appends and
// reads have separate circuit breakers: consecutive failures open a circuit, which
// then rejects calls at once, except for single probes with increasing delays that
// test whether the service is available again. State changes are recorded in the
// timeline.
type Health struct {
	service  Service
	recorder timeline.Recorder
	appends  breaker
	reads    breaker
}

// breaker is a circuit with its name and counters.
type breaker struct {
	circuit
	name             string
	failed, rejected expvar.Int
}

var _ Service = (*Health)(nil)

// NewHealth returns a Health that wraps service.
func NewHealth(service Service, recorder timeline.Recorder) *Health {
	return &Health{
		service:  service,
		recorder: recorder,
		appends:  breaker{name: "append"},
		reads:    breaker{name: "read"},
	}
}

// Vars returns the counters of the Health.
func (h *Health) Vars() *expvar.Map {
	vars := new(expvar.Map)
	for _, b := range []*breaker{&h.appends, &h.reads} {
		vars.Set(b.name+"_failed", &b.failed)
		vars.Set(b.name+"_rejected", &b.rejected)
		vars.Set(b.name+"_away", expvar.Func(func() any { return b.unavailable() }))
	}
	return vars
}

// AppendsUnavailable reports whether the circuit breaker for appends is not
// closed.
func (h *Health) AppendsUnavailable() bool { return h.appends.unavailable() }

// ReadsUnavailable reports whether the circuit breaker for reads is not closed.
func (h *Health) ReadsUnavailable() bool { return h.reads.unavailable() }

// Append implements Service.
func (h *Health) Append(ctx context.Context, stream string, entries []Entry) (uint64, error) {
	if h.appends.admit() == rejected {
		h.appends.rejected.Add(1)
		return 0, Outage.New("circuit breaker for log appends is open")
	}
	first, err := h.service.Append(ctx, stream, entries)
	h.recordOutcome(&h.appends, ctx, err)
	return first, err
}

// Read implements Service. A probe does not wait for new records.
func (h *Health) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	switch h.reads.admit() {
	case rejected:
		h.reads.rejected.Add(1)
		return Page{}, Unreadable.New("circuit breaker for log reads is open")
	case probe:
		wait = 0
	}
	page, err := h.service.Read(ctx, stream, from, limit, wait)
	h.recordOutcome(&h.reads, ctx, err)
	return page, err
}

// recordOutcome updates the circuit breaker after a call. A call cancelled by its
// caller counts neither as a success nor as a failure. Throttled and Refused count as
// successes, since the service responded.
func (h *Health) recordOutcome(b *breaker, ctx context.Context, err error) {
	switch {
	case err == nil || errorx.IsOfType(err, Throttled) || errorx.IsOfType(err, Refused):
		if b.recordSuccess() {
			h.recorder.Record(timeline.LogBack, "", b.name)
		}
	case errors.Is(ctx.Err(), context.Canceled):
		b.releaseProbe()
	default:
		b.failed.Add(1)
		if b.recordFailure() {
			h.recorder.Record(timeline.LogAway, "", b.name)
		}
	}
}
