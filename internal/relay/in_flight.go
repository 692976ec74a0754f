package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

// InFlight is a request that has no final answer yet.
type InFlight struct {
	ID, Route string
	// Team is the name of the team that sent the request, empty if there is none.
	Team string
	Age  time.Duration
	// Sent is set if an endpoint may have received the request.
	Sent bool
}

// inFlight tracks the requests that have no final answer yet.
type inFlight struct {
	mu       sync.Mutex
	requests map[*tracked]struct{}
}

// tracked is a request in flight.
type tracked struct {
	id, route, team string
	arrived         time.Time
	sent            atomic.Bool
}

func newInFlight() *inFlight { return &inFlight{requests: make(map[*tracked]struct{})} }

// begin tracks a request until the returned function is called.
func (f *inFlight) begin(x *exchange) func() {
	request := &tracked{id: x.request.ID, route: x.route.Name, arrived: x.request.Arrived}
	if x.request.Team != nil {
		request.team = x.request.Team.Name
	}
	x.tracked = request
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[request] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, request)
	}
}

// InFlight returns the requests that have no final answer yet.
func (r *Relay) InFlight() []InFlight {
	r.inFlight.mu.Lock()
	defer r.inFlight.mu.Unlock()
	all := make([]InFlight, 0, len(r.inFlight.requests))
	for request := range r.inFlight.requests {
		all = append(all, InFlight{
			ID: request.id, Route: request.route, Team: request.team, Age: time.Since(request.arrived), Sent: request.sent.Load(),
		})
	}
	return all
}
