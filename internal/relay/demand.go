package relay

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// firstTargetShare is the part of the time to the first event that a request asks for
	// at first. A zone that would need longer lets others have it, if they can
	// start at once; only then does the request wait in its own zone.
	firstTargetShare = 0.6
	// lateMargin is kept of the time that callers wait for a first event.
	lateMargin = 300 * time.Millisecond
	// deliveryMargin is kept of a first event's objective for the way to the caller.
	deliveryMargin = 20 * time.Millisecond
	// lateClassSuffix and returnedClassSuffix tell the late requests of a route, and
	// those of callers that were refused before, from the others.
	lateClassSuffix     = "/late"
	returnedClassSuffix = "/returned"
	// outputEstimateMargin is the part by which the memory reserved for an answer exceeds
	// the caller's estimate, which is right at the median only.
	outputEstimateMargin = 1.25
	// minReservedOutputTokens is the least memory reserved for an answer.
	minReservedOutputTokens = 64
)

// demand describes the next attempt to the scheduler.
func (r *Relay) demand(g *generation) scheduling.Demand {
	work := g.request.Generation
	return scheduling.Demand{
		ID:           r.attemptID(),
		Zone:         r.options.Zone,
		Class:        classOf(g),
		Model:        g.service.Name,
		Priority:     priorityOf(g),
		Order:        configuration.OrderAny,
		PromptTokens: work.PromptTokens + g.delivered,
		OutputTokens: max(minReservedOutputTokens, reservedOutput(work)-g.delivered),
		Targets:      r.targets(g),
		Weights:      configuration.Weights{WastedPrefill: 1},
		Waited:       time.Since(g.request.Arrived),
		Exclude:      g.exclude,
		Resumed:      g.headerSent,
	}
}

// reservedOutput returns the length of answer that memory is reserved for.
func reservedOutput(work *Generation) int {
	if work.ExpectedOutputTokens <= 0 {
		return work.MaxOutputTokens
	}
	return min(work.MaxOutputTokens, int(outputEstimateMargin*float64(work.ExpectedOutputTokens)))
}

// targets returns the targets that are still open. A late request has to begin
// before its caller gives up.
func (r *Relay) targets(g *generation) configuration.Targets {
	first := g.route.Objective - g.priorWait - deliveryMargin
	switch {
	case g.late:
		first = g.request.FirstEventTimeout - lateMargin
	case !g.relaxed:
		first = time.Duration(firstTargetShare * float64(first))
	}
	if g.headerSent || first <= 0 {
		return configuration.Targets{}
	}
	return configuration.Targets{FirstToken: configuration.Duration(first)}
}

func classOf(g *generation) string {
	switch {
	case !g.late:
		return g.route.Name
	case g.priorWait > 0:
		return g.route.Name + returnedClassSuffix
	}
	return g.route.Name + lateClassSuffix
}

func priorityOf(g *generation) int {
	switch {
	case !g.late:
		return -g.route.Priority
	case g.priorWait > 0:
		// A caller that was refused before comes first.
		return scheduling.BackgroundPriority
	}
	return scheduling.BackgroundPriority - 1
}

func (r *Relay) attemptID() engine.AttemptID {
	return engine.AttemptID{
		VM:          r.options.VM,
		Incarnation: r.options.Incarnation,
		Request:     r.requests.Add(1),
		Attempt:     1,
	}
}
