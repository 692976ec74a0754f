package claim

import (
	"context"

	"connectrpc.com/connect"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/api/claim/v1/claimv1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// ConnectPeers implements Peers and AnswerPeers over connect-go.
type ConnectPeers struct{ dialer peer.Dialer }

// NewConnectPeers returns a client that calls other entry VMs.
func NewConnectPeers(dialer peer.Dialer) *ConnectPeers { return &ConnectPeers{dialer: dialer} }

// Submit implements Peers.
func (p *ConnectPeers) Submit(ctx context.Context, address string, request *claimv1.SubmitRequest) (*claimv1.SubmitResponse, error) {
	client := claimv1connect.NewClaimServiceClient(p.dialer.HTTPClient(), p.dialer.BaseURL(address), peer.ClientOptions()...)
	return message(client.Submit(ctx, connect.NewRequest(request)))
}

// Update implements AnswerPeers.
func (p *ConnectPeers) Update(ctx context.Context, address string, request *claimv1.UpdateRequest) (*claimv1.UpdateResponse, error) {
	return message(p.answers(address).Update(ctx, connect.NewRequest(request)))
}

// Replicate implements AnswerPeers.
func (p *ConnectPeers) Replicate(ctx context.Context, address string, request *claimv1.ReplicateRequest) (*claimv1.ReplicateResponse, error) {
	return message(p.answers(address).Replicate(ctx, connect.NewRequest(request)))
}

// TakeOver implements AnswerPeers.
func (p *ConnectPeers) TakeOver(ctx context.Context, address string, request *claimv1.TakeOverRequest) (*claimv1.TakeOverResponse, error) {
	return message(p.answers(address).TakeOver(ctx, connect.NewRequest(request)))
}

func (p *ConnectPeers) answers(address string) claimv1connect.AnswerServiceClient {
	return claimv1connect.NewAnswerServiceClient(p.dialer.HTTPClient(), p.dialer.BaseURL(address), peer.ClientOptions()...)
}

// message unwraps a response.
func message[T any](response *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
