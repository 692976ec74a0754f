package swim

import (
	"context"
	"time"

	"connectrpc.com/connect"

	membershipv1 "github.com/ospreyshed/ospreyshed/api/membership/v1"
	"github.com/ospreyshed/ospreyshed/api/membership/v1/membershipv1connect"
	"github.com/ospreyshed/ospreyshed/internal/peer"
)

// start makes calls in the background. Their number is bounded by the periods
// of the machine and the timeouts of calls.
func (s *Service) start(ctx context.Context, calls []call) {
	for _, c := range calls {
		s.running.Go(func() { s.execute(ctx, c) })
	}
}

// execute makes a call and the calls that follow from its outcome. It reports
// whether the VM that was called responded.
func (s *Service) execute(ctx context.Context, c call) bool {
	result, err := s.send(ctx, c)
	if err != nil {
		s.counters.CallsFailed.Add(1)
	}
	next := s.do(func(now time.Time, m *machine) []call { return m.handleOutcome(now, c.ID, result) })
	for _, follow := range next {
		s.execute(ctx, follow)
	}
	return result.Response != nil && result.Response.From.VM == c.VM
}

// send makes one call. A response is dropped if the certificate of the responding
// process does not authorize it for the VM that the response names as its sender.
func (s *Service) send(ctx context.Context, c call) (outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var responder peer.Identity
	result, err := s.exchangeMessages(peer.ContextWithResponder(ctx, &responder), c)
	if err != nil {
		return outcome{}, err
	}
	if !responder.AuthorizedAs(result.Response.From.VM) {
		s.counters.Forged.Add(1)
		return outcome{}, Forged.New("certificate names %q do not authorize a response from %s", responder.Names, result.Response.From.VM)
	}
	return result, nil
}

func (s *Service) exchangeMessages(ctx context.Context, c call) (outcome, error) {
	client := s.client(c.Address)
	envelope := messageToProto(&c.Request)
	switch c.Kind {
	case callPing:
		response, err := client.Ping(ctx, connect.NewRequest(&membershipv1.PingRequest{Envelope: envelope}))
		if err != nil {
			return outcome{}, err
		}
		return outcomeOf(response.Msg.GetEnvelope()), nil
	case callIndirect:
		request := &membershipv1.IndirectPingRequest{Envelope: envelope, Vm: c.Target}
		response, err := client.IndirectPing(ctx, connect.NewRequest(request))
		if err != nil {
			return outcome{}, err
		}
		result := outcomeOf(response.Msg.GetEnvelope())
		result.Reached = response.Msg.GetReached()
		return result, nil
	default:
		request := &membershipv1.ExchangeRequest{Envelope: envelope, Buckets: c.Request.Buckets}
		response, err := client.Exchange(ctx, connect.NewRequest(request))
		if err != nil {
			return outcome{}, err
		}
		result := outcomeOf(response.Msg.GetEnvelope())
		result.Response.Buckets = response.Msg.GetBuckets()
		result.Response.Truncated = response.Msg.GetTruncated()
		return result, nil
	}
}

func outcomeOf(envelope *membershipv1.Envelope) outcome {
	response := messageFromProto(envelope)
	return outcome{Response: &response}
}

// client returns the client of an address. Clients are cached because creating
// one costs more than a call.
func (s *Service) client(address string) membershipv1connect.MembershipServiceClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	if client, ok := s.clients[address]; ok {
		return client
	}
	if len(s.clients) >= maxMembers {
		clear(s.clients)
	}
	client := membershipv1connect.NewMembershipServiceClient(s.params.Dialer.HTTPClient(),
		s.params.Dialer.BaseURL(address), connect.WithReadMaxBytes(maxMessageBytes))
	s.clients[address] = client
	return client
}
