package swim

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	membershipv1 "github.com/ospreyshed/ospreyshed/api/membership/v1"
	"github.com/ospreyshed/ospreyshed/api/membership/v1/membershipv1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// maxIndirectPings bounds the indirect pings in flight for others.
const maxIndirectPings = 16

// server handles the requests of other VMs.
type server struct {
	service  *Service
	indirect atomic.Int64
}

var _ membershipv1connect.MembershipServiceHandler = (*server)(nil)

// Peer returns the handler for the peer listener.
func (s *Service) Peer() peer.Handler {
	options := append(peer.HandlerOptions(), connect.WithReadMaxBytes(maxMessageBytes))
	path, handler := membershipv1connect.NewMembershipServiceHandler(&server{service: s}, options...)
	return peer.Handler{Path: path, Handler: s.bounded(handler)}
}

// bounded cuts off request bodies that exceed maxMessageBytes and counts them.
func (s *Service) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &boundedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxMessageBytes), exceeded: &s.counters.Oversized}
		next.ServeHTTP(w, r)
	})
}

// boundedBody counts a request body that is cut off.
type boundedBody struct {
	io.ReadCloser
	exceeded *atomic.Int64
	counted  bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) && !b.counted {
		b.counted = true
		b.exceeded.Add(1)
	}
	return n, err
}

// Ping implements membershipv1connect.MembershipServiceHandler.
func (s *server) Ping(
	ctx context.Context, request *connect.Request[membershipv1.PingRequest],
) (*connect.Response[membershipv1.PingResponse], error) {
	response, err := s.receive(ctx, request.Msg.GetEnvelope(), nil)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&membershipv1.PingResponse{Envelope: messageToProto(&response)}), nil
}

// Exchange implements membershipv1connect.MembershipServiceHandler.
func (s *server) Exchange(
	ctx context.Context, request *connect.Request[membershipv1.ExchangeRequest],
) (*connect.Response[membershipv1.ExchangeResponse], error) {
	response, err := s.receive(ctx, request.Msg.GetEnvelope(), request.Msg.GetBuckets())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&membershipv1.ExchangeResponse{
		Envelope: messageToProto(&response), Buckets: response.Buckets, Truncated: response.Truncated,
	}), nil
}

// IndirectPing implements membershipv1connect.MembershipServiceHandler.
func (s *server) IndirectPing(
	ctx context.Context, request *connect.Request[membershipv1.IndirectPingRequest],
) (*connect.Response[membershipv1.IndirectPingResponse], error) {
	if s.indirect.Add(1) > maxIndirectPings {
		s.indirect.Add(-1)
		return nil, connectError(Busy.New("%d indirect pings", maxIndirectPings))
	}
	defer s.indirect.Add(-1)
	received := messageFromProto(request.Msg.GetEnvelope())
	if err := s.authenticate(ctx, received.From.VM); err != nil {
		return nil, err
	}
	var reply message
	var dropped error
	calls := s.service.do(func(now time.Time, m *machine) []call {
		composed, made, err := m.receiveIndirect(now, &received, request.Msg.GetVm())
		reply, dropped = composed, err
		if made == nil {
			return nil
		}
		return []call{*made}
	})
	if dropped != nil {
		return nil, connectError(dropped)
	}
	response := &membershipv1.IndirectPingResponse{Envelope: messageToProto(&reply)}
	for _, made := range calls {
		response.Reached = s.service.execute(ctx, made)
	}
	return connect.NewResponse(response), nil
}

// receive passes a request to the machine and returns its response.
func (s *server) receive(ctx context.Context, envelope *membershipv1.Envelope, buckets []uint64) (message, error) {
	received := messageFromProto(envelope)
	received.Buckets = buckets
	if err := s.authenticate(ctx, received.From.VM); err != nil {
		return message{}, err
	}
	var response message
	var dropped error
	s.service.do(func(now time.Time, m *machine) []call {
		response, dropped = m.receive(now, &received)
		return nil
	})
	if dropped != nil {
		return message{}, connectError(dropped)
	}
	return response, nil
}

// authenticate returns an error if the caller's certificate does not authorize it
// to send messages as the VM.
func (s *server) authenticate(ctx context.Context, vm string) error {
	caller := peer.CallerFrom(ctx)
	if caller.AuthorizedAs(vm) {
		return nil
	}
	s.service.counters.Forged.Add(1)
	return connectError(Forged.New("%q may not speak for %s", caller.Names, vm))
}

// connectError adds the Connect status code with which an error is sent to a peer.
func connectError(err error) error {
	code := connect.CodeInvalidArgument
	switch {
	case errorx.IsOfType(err, Forged), errorx.IsOfType(err, Unlisted):
		code = connect.CodePermissionDenied
	case errorx.IsOfType(err, Stale), errorx.IsOfType(err, Replayed):
		code = connect.CodeFailedPrecondition
	case errorx.IsOfType(err, Oversized), errorx.IsOfType(err, Busy):
		code = connect.CodeResourceExhausted
	}
	return connect.NewError(code, err)
}
