package vmlist

import (
	"context"
	"sync/atomic"
	"time"
)

// pollInterval is the time between two fetches of the list. Together with the
// delay at which the platform updates its list, it bounds how long a leaving VM
// may still be given new work.
const pollInterval = 500 * time.Millisecond

// Counters count fetches. The zero value is ready to use.
type Counters struct {
	// Fetched and Failed count fetches by outcome.
	Fetched, Failed atomic.Int64
}

// Poller fetches the list periodically and passes it to its subscribers.
type Poller struct {
	// Counters are read by the metrics.
	Counters Counters

	service     Service
	subscribers []func(List)
}

// NewPoller returns a poller. After each successful fetch the subscribers are
// called sequentially.
func NewPoller(service Service, subscribers ...func(List)) *Poller {
	return &Poller{service: service, subscribers: subscribers}
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
	for _, notify := range p.subscribers {
		notify(list)
	}
}
