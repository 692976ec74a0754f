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
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 300 * time.Millisecond
	// heartbeatFailures is the number of failed heartbeats in a row after which
	// an owner counts as unreachable.
	heartbeatFailures = 2
)

// link sends heartbeats and progress to one other VM. One call is in flight at
// a time, so that reports arrive in order.
type link struct {
	service *Service
	vm      string
	kick    chan struct{}
	failed  int
	// known are the models of which the owner knows all that is held, so that
	// short records suffice.
	known map[routeKey]bool
}

// wake makes the link send its progress now.
func (l *link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// run sends until ctx ends or the VM owns nothing that this VM needs.
func (l *link) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
			l.send(ctx, false)
		case <-ticker.C:
			if l.service.dropLink(l) {
				return
			}
			l.send(ctx, true)
		}
	}
}

// send reports progress and, with lists, all that is held.
func (l *link) send(ctx context.Context, lists bool) {
	keys := l.service.keysOwnedBy(l.vm)
	taken := make(map[routeKey][]scheduling.Progress)
	request := l.service.heartbeatRequest()
	for _, key := range keys {
		taken[key] = l.service.holdings.take(key)
		for _, p := range taken[key] {
			request.Progress = append(request.Progress, progressToProto(key.model, p))
		}
		if lists {
			request.Models = append(request.Models, l.service.listOf(key, !l.known[key]))
		}
	}
	if len(request.Progress) == 0 && len(request.Models) == 0 {
		return
	}
	response, err := l.call(ctx, request)
	if err != nil {
		for key, progress := range taken {
			l.service.holdings.restore(key, progress)
		}
		l.fail(ctx)
		return
	}
	l.failed = 0
	l.service.router.markReachable(l.vm)
	if lists {
		l.note(keys, response)
	}
}

// note records of which models the owner knows all that is held. For the others
// the next heartbeat carries whole records.
func (l *link) note(keys []routeKey, response *reservationv1.HeartbeatResponse) {
	for _, key := range keys {
		incomplete := slices.Contains(response.GetIncomplete(), key.model)
		l.known[key] = !incomplete && !slices.Contains(response.GetNotOwned(), key.model)
	}
}

func (l *link) call(ctx context.Context, request *reservationv1.HeartbeatRequest) (*reservationv1.HeartbeatResponse, error) {
	client, err := l.service.client(l.vm)
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

// fail counts a failed call.
func (l *link) fail(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	l.service.counters.HeartbeatsFailed.Add(1)
	clear(l.known)
	l.failed++
	if l.failed >= heartbeatFailures {
		l.failed = 0
		l.service.router.markUnreachable(l.vm)
		l.service.refreshRoutes()
	}
}
