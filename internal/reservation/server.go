package reservation

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	reservationv1 "github.com/ospreyshed/ospreyshed/api/reservation/v1"
	"github.com/ospreyshed/ospreyshed/api/reservation/v1/reservationv1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
)

// Handler returns the Connect handler for the peer listener.
func (s *Service) Handler() peer.Handler {
	path, handler := reservationv1connect.NewReservationServiceHandler(server{s}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

// server implements the Connect service for peers.
type server struct {
	service *Service
}

// Reserve implements the Connect service.
func (h server) Reserve(
	ctx context.Context, request *connect.Request[reservationv1.ReserveRequest],
) (*connect.Response[reservationv1.ReserveResponse], error) {
	d := demandFromProto(request.Msg.GetDemand())
	sched, err := h.service.ownedScheduler(d.Model)
	if err != nil {
		return reserveResult(scheduling.Grant{}, err)
	}
	// Engines of one build may be the only ones that can continue an answer, so
	// such a demand may take their last slot or wait for it.
	needsRoom := request.Msg.GetSpilled() && !d.ContinuesBuild()
	if needsRoom && sched.headroom(&d) < minSpillHeadroom {
		return reserveResult(scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedTarget})
	}
	return reserveResult(sched.reserve(ctx, d))
}

// reserveResult converts a decision to a response.
func reserveResult(grant scheduling.Grant, err error) (*connect.Response[reservationv1.ReserveResponse], error) {
	refusal := asRefusal(err)
	if err != nil && refusal == nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	return connect.NewResponse(outcomeToProto(grant, refusal)), nil
}

// Heartbeat implements the Connect service.
func (h server) Heartbeat(
	_ context.Context, request *connect.Request[reservationv1.HeartbeatRequest],
) (*connect.Response[reservationv1.HeartbeatResponse], error) {
	m := request.Msg
	if err := h.service.checkIncarnation(m.GetVm(), m.GetIncarnation()); err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	h.service.applyProgress(m.GetProgress())
	response := &reservationv1.HeartbeatResponse{}
	h.service.exchangeFacts(m, response)
	for _, list := range m.GetModels() {
		complete, err := h.service.applyHoldings(m.GetVm(), m.GetIncarnation(), list)
		if err != nil {
			response.NotOwned = append(response.NotOwned, list.GetModel())
		} else if !complete {
			response.Incomplete = append(response.Incomplete, list.GetModel())
		}
	}
	return connect.NewResponse(response), nil
}

func (s *Service) applyProgress(progress []*reservationv1.Progress) {
	for _, p := range progress {
		sched, err := s.ownedScheduler(p.GetModel())
		if err != nil {
			continue
		}
		report := progressFromProto(p)
		s.observeLimit(&report)
		sched.progress(report)
	}
}

// applyHoldings renews the grants that a VM lists for a model and reports
// whether all of them are known now.
func (s *Service) applyHoldings(vm string, incarnation uint64, list *reservationv1.ModelHoldings) (bool, error) {
	sched, err := s.ownedScheduler(list.GetModel())
	if err != nil {
		return false, err
	}
	held := make([]scheduling.Held, 0, len(list.GetHeld()))
	for _, h := range list.GetHeld() {
		record := heldFromProto(h)
		record.ID.VM, record.ID.Incarnation = vm, incarnation
		held = append(held, record)
	}
	return sched.heartbeat(vm, incarnation, held), nil
}

// checkIncarnation rejects heartbeats of previous incarnations. The first
// heartbeat of a new incarnation releases the grants that the previous one held.
func (s *Service) checkIncarnation(vm string, incarnation uint64) error {
	previous, known := s.incarnations.observe(vm, incarnation)
	if !known || previous == incarnation {
		return nil
	}
	if previous > incarnation {
		s.counters.StaleHeartbeats.Add(1)
		return StaleIncarnation.New("%s has started again since", vm)
	}
	s.HolderGone(vm, previous)
	return nil
}

// incarnationTracker tracks the latest incarnation of each sender.
type incarnationTracker struct {
	mu     sync.Mutex
	latest map[string]uint64
}

func newIncarnationTracker() *incarnationTracker {
	return &incarnationTracker{latest: make(map[string]uint64)}
}

// observe records a sender's incarnation and returns the latest one before it.
func (t *incarnationTracker) observe(vm string, incarnation uint64) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, known := t.latest[vm]
	t.latest[vm] = max(previous, incarnation)
	return previous, known
}
