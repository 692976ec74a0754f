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

// Handler returns the connect-go service for the listener for peers.
func (s *Service) Handler() peer.Handler {
	path, handler := reservationv1connect.NewReservationServiceHandler(server{s}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

// server is the service as peers see it.
type server struct {
	service *Service
}

// Reserve implements the connect-go service.
func (h server) Reserve(
	ctx context.Context, request *connect.Request[reservationv1.ReserveRequest],
) (*connect.Response[reservationv1.ReserveResponse], error) {
	d := demandFromProto(request.Msg.GetDemand())
	o, err := h.service.own(d.Model)
	if err != nil {
		return decision(scheduling.Grant{}, err)
	}
	if request.Msg.GetSpilled() && o.headroom(d.Priority) < spillHeadroom {
		return decision(scheduling.Grant{}, &scheduling.Refusal{Reason: scheduling.RefusedTarget})
	}
	return decision(o.reserve(ctx, d))
}

// decision puts an answer into a response.
func decision(grant scheduling.Grant, err error) (*connect.Response[reservationv1.ReserveResponse], error) {
	refusal := asRefusal(err)
	if err != nil && refusal == nil {
		return nil, connect.NewError(codeOf(err), err)
	}
	return connect.NewResponse(outcomeToProto(grant, refusal)), nil
}

// Heartbeat implements the connect-go service.
func (h server) Heartbeat(
	_ context.Context, request *connect.Request[reservationv1.HeartbeatRequest],
) (*connect.Response[reservationv1.HeartbeatResponse], error) {
	m := request.Msg
	if err := h.service.checkIncarnation(m.GetVm(), m.GetIncarnation()); err != nil {
		return nil, connect.NewError(codeOf(err), err)
	}
	h.service.takeProgress(m.GetProgress())
	response := &reservationv1.HeartbeatResponse{}
	for _, list := range m.GetModels() {
		complete, err := h.service.takeList(m.GetVm(), m.GetIncarnation(), list)
		if err != nil {
			response.NotOwned = append(response.NotOwned, list.GetModel())
		} else if !complete {
			response.Incomplete = append(response.Incomplete, list.GetModel())
		}
	}
	return connect.NewResponse(response), nil
}

func (s *Service) takeProgress(progress []*reservationv1.Progress) {
	for _, p := range progress {
		o, err := s.own(p.GetModel())
		if err != nil {
			continue
		}
		o.progress(progressFromProto(p))
	}
}

// takeList renews a list and reports whether all of it is known now.
func (s *Service) takeList(vm string, incarnation uint64, list *reservationv1.ModelHoldings) (bool, error) {
	o, err := s.own(list.GetModel())
	if err != nil {
		return false, err
	}
	held := make([]scheduling.Held, 0, len(list.GetHeld()))
	for _, h := range list.GetHeld() {
		record := heldFromProto(h)
		record.ID.VM, record.ID.Incarnation = vm, incarnation
		held = append(held, record)
	}
	return o.heartbeat(vm, incarnation, held), nil
}

// checkIncarnation refuses heartbeats of former incarnations. The first
// heartbeat of a new one ends what the former held.
func (s *Service) checkIncarnation(vm string, incarnation uint64) error {
	former, known := s.senders.note(vm, incarnation)
	if !known || former == incarnation {
		return nil
	}
	if former > incarnation {
		s.counters.StaleHeartbeats.Add(1)
		return StaleIncarnation.New("%s has started again since", vm)
	}
	s.HolderGone(vm, former)
	return nil
}

// holders remembers the latest incarnation of each sender.
type holders struct {
	mu     sync.Mutex
	latest map[string]uint64
}

func newHolders() *holders { return &holders{latest: make(map[string]uint64)} }

// note records a sender's incarnation and returns the latest before it.
func (h *holders) note(vm string, incarnation uint64) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	former, known := h.latest[vm]
	h.latest[vm] = max(former, incarnation)
	return former, known
}
