package reservation

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

const (
	// heartbeatTimeout limits one heartbeat call.
	heartbeatTimeout = 300 * time.Millisecond
	// maxConsecutiveHeartbeatFailures is the number of consecutive failed
	// heartbeats after which an owner counts as unreachable.
	maxConsecutiveHeartbeatFailures = 2
)

// progressReporter sends heartbeats and progress to one other VM. Only one call
// is in flight at a time, so that reports arrive in order.
type progressReporter struct {
	service             *Service
	vm                  string
	wakeup              chan struct{}
	consecutiveFailures int
	// complete marks routes on which the owner knows all grants held, so that
	// short records suffice.
	complete map[routeKey]bool
}

// sendNow makes run send pending progress immediately.
func (r *progressReporter) sendNow() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// run sends until ctx ends or the VM owns no route that this VM uses.
func (r *progressReporter) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeup:
			r.send(ctx, false)
		case <-ticker.C:
			if r.service.removeUnusedReporter(r) {
				return
			}
			r.send(ctx, true)
		}
	}
}

// send reports pending progress and, with includeHoldings, all grants held.
func (r *progressReporter) send(ctx context.Context, includeHoldings bool) {
	keys := r.service.keysOwnedBy(r.vm)
	pending := make(map[routeKey][]scheduling.Progress)
	request := r.service.heartbeatRequest()
	for _, key := range keys {
		pending[key] = r.service.holdings.drain(key)
		for _, p := range pending[key] {
			request.Progress = append(request.Progress, progressToProto(key.model, p))
		}
		if includeHoldings {
			request.Models = append(request.Models, r.service.modelHoldings(key, !r.complete[key]))
		}
	}
	if len(request.Progress) == 0 && len(request.Models) == 0 {
		return
	}
	if includeHoldings {
		r.service.attachFacts(request, r.vm)
	}
	sent := time.Now()
	response, err := r.call(ctx, request)
	if err != nil {
		for key, progress := range pending {
			r.service.holdings.requeue(key, progress)
		}
		r.recordFailure(ctx)
		return
	}
	r.consecutiveFailures = 0
	r.service.router.markReachable(r.vm)
	r.service.learnFacts(r.vm, response, sent)
	if includeHoldings {
		r.recordComplete(keys, response)
	}
}

// recordComplete records on which routes the owner knows all grants held. For
// the others, the next heartbeat carries full records.
func (r *progressReporter) recordComplete(keys []routeKey, response *reservationv1.HeartbeatResponse) {
	for _, key := range keys {
		incomplete := slices.Contains(response.GetIncomplete(), key.model)
		r.complete[key] = !incomplete && !slices.Contains(response.GetNotOwned(), key.model)
	}
}

func (r *progressReporter) call(ctx context.Context, request *reservationv1.HeartbeatRequest) (*reservationv1.HeartbeatResponse, error) {
	client, err := r.service.client(r.vm)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := client.Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// recordFailure counts a failed call and marks the owner unreachable after too
// many.
func (r *progressReporter) recordFailure(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.service.counters.HeartbeatsFailed.Add(1)
	clear(r.complete)
	r.consecutiveFailures++
	if r.consecutiveFailures >= maxConsecutiveHeartbeatFailures {
		r.consecutiveFailures = 0
		r.service.router.markUnreachable(r.vm)
		r.service.releaseLostModels()
	}
}
