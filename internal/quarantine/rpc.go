package quarantine

import (
	"context"
	"math"
	"slices"
	"time"

	"connectrpc.com/connect"

	quarantinev1 "github.com/ospreyshed/ospreyshed/api/quarantine/v1"
	"github.com/ospreyshed/ospreyshed/api/quarantine/v1/quarantinev1connect"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// NewPeers returns the Peers that call other VMs with a dialer.
func NewPeers(dialer peer.Dialer) Peers { return remotePeers{dialer} }

type remotePeers struct{ dialer peer.Dialer }

// Exchange implements Peers.
func (p remotePeers) Exchange(ctx context.Context, to membership.Member, m Message) (Message, error) {
	client := quarantinev1connect.NewQuarantineServiceClient(
		p.dialer.HTTPClient(), p.dialer.BaseURL(to.Address), peer.ClientOptions()...)
	response, err := client.Exchange(ctx, connect.NewRequest(requestToProto(m)))
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return Message{}, Unserved.New("VM %s does not serve the exchange of facts about crashes", to.VM)
	}
	if err != nil {
		return Message{}, err
	}
	return Message{Facts: factsFromProto(response.Msg.GetFacts()), Digest: response.Msg.GetDigest()}, nil
}

// Handler returns the handler for the peer listener.
func (s *sharer) Handler() peer.Handler {
	path, handler := quarantinev1connect.NewQuarantineServiceHandler(server{s}, peer.HandlerOptions()...)
	return peer.Handler{Path: path, Handler: handler}
}

type server struct{ sharer *sharer }

// Exchange implements quarantinev1connect.QuarantineServiceHandler.
func (h server) Exchange(_ context.Context, request *connect.Request[quarantinev1.ExchangeRequest]) (*connect.Response[quarantinev1.ExchangeResponse], error) {
	response := h.sharer.handle(Message{
		Facts:   factsFromProto(request.Msg.GetFacts()),
		Digest:  request.Msg.GetDigest(),
		Forward: request.Msg.GetForward(),
	})
	return connect.NewResponse(responseToProto(response)), nil
}

func requestToProto(m Message) *quarantinev1.ExchangeRequest {
	return &quarantinev1.ExchangeRequest{Facts: factsToProto(m.Facts), Digest: m.Digest, Forward: m.Forward}
}

func responseToProto(m Message) *quarantinev1.ExchangeResponse {
	return &quarantinev1.ExchangeResponse{Facts: factsToProto(m.Facts), Digest: m.Digest}
}

// factsToProto returns nil if there are no facts.
func factsToProto(f Facts) *quarantinev1.Facts {
	if f.Empty() {
		return nil
	}
	encoded := &quarantinev1.Facts{}
	for i := range f.Crashes {
		c := &f.Crashes[i]
		encoded.Crashes = append(encoded.Crashes, &quarantinev1.Crash{
			Service: c.Service, Engine: c.Engine, Parts: c.Parts, AgeMs: ageToProto(c.Age),
		})
	}
	for i := range f.Sounds {
		s := &f.Sounds[i]
		encoded.Sounds = append(encoded.Sounds, &quarantinev1.Sound{Service: s.Service, Part: s.Part, AgeMs: ageToProto(s.Age)})
	}
	return encoded
}

// factsFromProto sorts the parts of crashes and removes repeated ones.
func factsFromProto(encoded *quarantinev1.Facts) Facts {
	var f Facts
	for _, c := range encoded.GetCrashes() {
		parts := slices.Clone(c.GetParts())
		slices.Sort(parts)
		f.Crashes = append(f.Crashes, Crash{
			Service: c.GetService(), Engine: c.GetEngine(), Parts: slices.Compact(parts), Age: ageFromProto(c.GetAgeMs()),
		})
	}
	for _, s := range encoded.GetSounds() {
		f.Sounds = append(f.Sounds, Sound{Service: s.GetService(), Part: s.GetPart(), Age: ageFromProto(s.GetAgeMs())})
	}
	return f
}

// ageToProto returns an age in milliseconds.
func ageToProto(age time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, age.Milliseconds())))
}

func ageFromProto(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
