package claim

import (
	"context"

	"connectrpc.com/connect"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/api/claim/v1/claimv1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// claimHandler serves ClaimService.
type claimHandler struct{ claims *Claims }

// Submit implements ClaimService.
func (h claimHandler) Submit(ctx context.Context, request *connect.Request[claimv1.SubmitRequest]) (*connect.Response[claimv1.SubmitResponse], error) {
	response, err := h.claims.Serve(ctx, request.Msg)
	return peerResponse(response, err)
}

// Serve submits a record on behalf of another VM and returns its settlement.
// Errors are of type KeyMalformed.
func (c *Claims) Serve(ctx context.Context, request *claimv1.SubmitRequest) (*claimv1.SubmitResponse, error) {
	record := request.GetRecord()
	key, err := ParseKey(Key{Team: record.GetTeam(), Key: record.GetKey()})
	if err != nil {
		return nil, err
	}
	if record.GetKind() == nil || record.GetWriter().GetVm() == "" || key.Form != FormPlain {
		return nil, KeyMalformed.New("the record has no kind or writer, or its key is not for the log")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.ClaimTimeout)
	defer cancel()
	result := c.submitLocally(ctx, record, key.Issued)
	return &claimv1.SubmitResponse{Settlement: result.status, State: result.state}, nil
}

// answerHandler serves AnswerService.
type answerHandler struct{ registry *AnswerRegistry }

// Peer returns the handler for calls from other entry VMs.
func (r *AnswerRegistry) Peer() peer.Handler {
	path, handler := claimv1connect.NewAnswerServiceHandler(answerHandler{registry: r}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

// Update implements AnswerService.
func (h answerHandler) Update(ctx context.Context, request *connect.Request[claimv1.UpdateRequest]) (*connect.Response[claimv1.UpdateResponse], error) {
	response, err := h.registry.Update(ctx, request.Msg)
	return peerResponse(response, err)
}

// Replicate implements AnswerService.
func (h answerHandler) Replicate(_ context.Context, request *connect.Request[claimv1.ReplicateRequest]) (*connect.Response[claimv1.ReplicateResponse], error) {
	response, err := h.registry.Replicate(request.Msg)
	return peerResponse(response, err)
}

// TakeOver implements AnswerService.
func (h answerHandler) TakeOver(_ context.Context, request *connect.Request[claimv1.TakeOverRequest]) (*connect.Response[claimv1.TakeOverResponse], error) {
	response, err := h.registry.TakeOver(request.Msg)
	return peerResponse(response, err)
}

// peerResponse wraps a response, or an error as CodeInvalidArgument.
func peerResponse[T any](response *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(response), nil
}
