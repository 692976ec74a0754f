// Package hedge decides when a request that is answered late is sent to a second endpoint as well, to
// which one, and how many hedges all VMs together may make. It is designed for 400 VMs with 4 to 5
// requests a second each. Decisions are functions of state and time; docs/design/hedging.md gives the
// reasons.
package hedge

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// maxUtilization is the share of slots in use from which no request is hedged. Hedges take at most the
// operator's share of the remainder, and queues grow steeply only beyond it.
const maxUtilization = 0.7

// loadAveraging is the time constant of the average of the utilization.
const loadAveraging = 5 * time.Second

// Counters count hedges. The zero value is ready to use.
type Counters struct {
	// Sent counts hedges that were sent, Won those whose answer was the first good one, Wasted the
	// others.
	Sent, Won, Wasted atomic.Int64
	// HeldByLimit counts hedges that the operator's limit or the retry budget did not allow,
	// HeldByLoad those that were not sent because the endpoints are loaded.
	HeldByLimit, HeldByLoad atomic.Int64
}

// Hedger holds what a VM needs to hedge requests.
type Hedger struct {
	*Limiter
	*Tracker
	// Counters are read by the metrics.
	Counters Counters

	mu    sync.Mutex
	loads map[string]averageLoad
}

// New returns the hedger of a VM. Speeds may be nil.
func New(vm string, settings Settings, speeds Speeds) *Hedger {
	return &Hedger{
		Limiter: NewLimiter(vm, settings), Tracker: NewTracker(settings, speeds), loads: make(map[string]averageLoad),
	}
}

// Loaded reports whether the endpoints of a service are too busy for hedges. It is asked for each request that
// is late. The utilization is averaged: at 90 %, a moment at which a third of the slots seem free is chance.
func (h *Hedger) Loaded(now time.Time, service string, endpoints []Candidate) bool {
	current := utilization(endpoints)
	h.mu.Lock()
	defer h.mu.Unlock()
	load, known := h.loads[service]
	if !known {
		// A single moment does not show that there is room.
		load = averageLoad{now, 1}
	}
	weight := 1 - math.Exp(-float64(now.Sub(load.at))/float64(loadAveraging))
	load.utilization += weight * (current - load.utilization)
	load.at = now
	h.loads[service] = load
	return load.utilization >= maxUtilization
}

// averageLoad is the averaged utilization of a service's endpoints as of a time.
type averageLoad struct {
	at          time.Time
	utilization float64
}

// Candidate is an endpoint that may get a hedge.
type Candidate struct {
	Name string
	// Host, Zone and Build are what endpoints may share. Host is the machine's address.
	Host, Zone, Build string
	// Requests is the number of requests at the endpoint, Slots the number that it runs at a time.
	Requests float64
	Slots    int
	// Speed is the endpoint's usual time of work, 1 for the usual endpoint.
	Speed float64
}

// utilization returns the share of the slots that are in use.
func utilization(endpoints []Candidate) float64 {
	busy, slots := 0.0, 0.0
	for i := range endpoints {
		of := float64(max(1, endpoints[i].Slots))
		slots += of
		// A long queue at one slow endpoint does not use the slots of others.
		busy += min(of, endpoints[i].Requests)
	}
	return busy / max(1, slots)
}

// shared returns a measure of what an endpoint shares with another. A machine is the most likely cause of
// slow answers, as other work on it slows both; then a build; then a zone and its network.
func (c *Candidate) shared(with *Candidate) int {
	weight := 0
	if c.Host == with.Host {
		weight += 4
	}
	if c.Build == with.Build {
		weight += 2
	}
	if c.Zone == with.Zone {
		weight++
	}
	return weight
}

// Choose returns the index of the endpoint for a hedge, -1 if none has a free slot: a hedge must not
// queue in front of other requests. It takes the better of the first two of those that share least with
// the first endpoint; callers pass them in random order, so that VMs with the same view spread.
func Choose(first *Candidate, others []Candidate) int {
	least := -1
	var tier []int
	for i := range others {
		c := &others[i]
		if c.Name == first.Name || c.Requests+1 > float64(max(1, c.Slots)) {
			continue
		}
		if shared := c.shared(first); least < 0 || shared < least {
			least, tier = shared, tier[:0]
		} else if shared > least {
			continue
		}
		tier = append(tier, i)
	}
	switch {
	case len(tier) == 0:
		return -1
	case len(tier) > 1 && others[tier[1]].cost() < others[tier[0]].cost():
		return tier[1]
	}
	return tier[0]
}

// cost returns the figure by which endpoints are compared.
func (c *Candidate) cost() float64 {
	return (c.Requests + 1) / float64(max(1, c.Slots)) * c.Speed
}
