package vmlist

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// pollInterval is the time between two fetches of the list. Together with the
// delay at which the platform updates its list, it bounds how long a leaving VM
// may still be given new work.
const pollInterval = 500 * time.Millisecond

// Counters count fetches. The zero value is ready to use.
type Counters struct {
	// Fetched and Failed count fetches by outcome.
	Fetched, Failed atomic.Int64
	// Unusable counts entries that cannot be used, once for each reason as long as it is the same.
	Unusable atomic.Int64
}

// eventUnusable is recorded for an entry that cannot be used.
const eventUnusable timeline.Kind = "vm_list.unusable"

// Poller fetches the list periodically and passes it to its subscribers.
type Poller struct {
	// Counters are read by the metrics.
	Counters Counters

	service     Service
	events      timeline.Recorder
	subscribers []func(List)
	// unusable are the reasons why entries of the last list cannot be used.
	unusable []string
}

// NewPoller returns a poller. After each successful fetch the subscribers are
// called sequentially.
func NewPoller(service Service, events timeline.Recorder, subscribers ...func(List)) *Poller {
	return &Poller{service: service, events: events, subscribers: subscribers}
}

// Run polls until ctx is done. After a failed fetch the subscribers are not
// called, so the last list stays in use.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) poll(ctx context.Context) {
	list, err := p.service.List(ctx)
	if err != nil {
		p.Counters.Failed.Add(1)
		return
	}
	p.Counters.Fetched.Add(1)
	p.report(list.Unusable)
	for _, notify := range p.subscribers {
		notify(list)
	}
}

// report records the entries that cannot be used for other reasons than in the list before.
func (p *Poller) report(unusable []string) {
	for _, problem := range unusable {
		if !slices.Contains(p.unusable, problem) {
			p.Counters.Unusable.Add(1)
			p.events.Record(eventUnusable, "", problem)
		}
	}
	p.unusable = unusable
}
