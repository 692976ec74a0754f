package relay

import (
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/engine"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// firstTargetShare is the share of the first event's objective that a request sets
	// as its first target. If its own zone cannot meet that target, another zone that
	// can start at once may take the request; otherwise it waits in its own zone.
	firstTargetShare = 0.6
	// lateMargin is subtracted from the time that callers wait for a first event when
	// the target of a late request is set.
	lateMargin = 300 * time.Millisecond
	// deliveryMargin is subtracted from a first event's objective for the transmission
	// to the caller.
	deliveryMargin = 20 * time.Millisecond
	// lateClassSuffix and returnedClassSuffix name the classes of a route's late
	// requests: those of new callers, and those of callers that were refused before.
	lateClassSuffix     = "/late"
	returnedClassSuffix = "/returned"
	// outputEstimateMargin is the factor by which the memory reserved for an answer
	// exceeds the caller's estimate, which is accurate only at the median.
	outputEstimateMargin = 1.25
	// retryWithinShare is the divisor of the time that a caller has left which gives the longest
	// retry delay that it heeds.
	retryWithinShare = 3
	// minReservedOutputTokens is the minimum memory reserved for an answer.
	minReservedOutputTokens = 64
	// maxTeamPriority and maxRoutePriority limit priorities so that the combined priority stays
	// above that of background demands.
	maxTeamPriority  = 30
	maxRoutePriority = 31
)

// demand returns the scheduling demand of the next attempt.
func (r *Relay) demand(g *generation) scheduling.Demand {
	work := g.request.Generation
	demand := scheduling.Demand{
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
		Exclude:      r.excluded(g),
		Build:        g.requiredBuild(),
		Resumed:      g.headerSent || g.takenUp,
		Strict:       g.strict(),
		Urgency:      regularPriority(g),
		PriorWait:    g.priorWait,
		RetryWithin:  g.retryWithin(),
	}
	if t := g.request.Team; t != nil {
		demand.Team, demand.Share = t.Name, t.Share()
	}
	return demand
}

// strict reports whether urgency precedes everything else in the order of service. Without
// teams a request is ordered by priority, waiting time and the time that its caller has left.
// A request without a key on an anonymous route competes with those of teams.
func (g *generation) strict() bool {
	return g.request.Team != nil || g.request.Reauthenticate != nil
}

// retryWithin returns the longest retry delay that the caller heeds.
func (g *generation) retryWithin() time.Duration {
	return max(0, g.timeLeft()/retryWithinShare)
}

// excluded returns the engines that must not be granted: those that failed the request, those
// that want no requests of this VM at present, and those that may not begin the stream yet.
func (r *Relay) excluded(g *generation) []string {
	excluded := slices.Clone(g.exclude)
	held, _ := r.unlisted(g)
	for _, name := range held {
		if !slices.Contains(excluded, name) {
			excluded = append(excluded, name)
		}
	}
	for _, e := range r.engines(g.service.Name) {
		if r.options.Endpoints.QuietFor(e.Name) > 0 && !slices.Contains(excluded, e.Name) {
			excluded = append(excluded, e.Name)
		}
	}
	return excluded
}

// engines returns the engines of a service in all zones.
func (r *Relay) engines(service string) []*configuration.Endpoint {
	view := r.options.Fleet.View()
	return slices.Concat(view.Engines(service, configuration.RolePrefill, ""), view.Engines(service, configuration.RoleDecode, ""))
}

// reservedOutput returns the number of output tokens for which memory is reserved.
func reservedOutput(work *Generation) int {
	if work.ExpectedOutputTokens <= 0 {
		return work.MaxOutputTokens
	}
	return min(work.MaxOutputTokens, int(outputEstimateMargin*float64(work.ExpectedOutputTokens)))
}

// targets returns the targets that can still be met. A late request has to start
// before its caller gives up.
func (r *Relay) targets(g *generation) configuration.Targets {
	first := g.route.Objective - g.priorWait - deliveryMargin
	switch {
	case g.late || g.takenUp:
		first = g.request.EventTimeout - lateMargin
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
		return regularPriority(g)
	case g.priorWait > 0:
		// Callers that were refused before precede other late requests.
		return scheduling.BackgroundPriority
	}
	return scheduling.BackgroundPriority - 1
}

// regularPriority returns the priority of a request that is not late. It is never that of a
// background demand.
func regularPriority(g *generation) int {
	return max(-urgency(g.request.Team, g.route.Priority), scheduling.BackgroundPriority+1)
}

// urgency combines the priority of a team with that of a route; 0 is the most urgent. The team's
// priority comes first. Without a team it is the route's priority.
func urgency(t *team.Team, route int) int {
	if t == nil {
		return route
	}
	route = max(0, min(route, maxRoutePriority))
	if t.Priority == nil {
		return route
	}
	return max(0, min(*t.Priority, maxTeamPriority))*(maxRoutePriority+1) + route
}

func (r *Relay) attemptID() engine.AttemptID {
	return engine.AttemptID{
		VM:          r.options.VM,
		Incarnation: r.options.Incarnation,
		Request:     r.requests.Add(1),
		Attempt:     1,
	}
}
