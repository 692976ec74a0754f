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
// of the machine and the time-outs of calls.
func (s *Service) start(ctx context.Context, calls []call) {
	for _, c := range calls {
		s.running.Go(func() { s.make(ctx, c) })
	}
}

// make makes a call and those that follow on its outcome. It reports whether
// the call was answered by the VM that was called.
func (s *Service) make(ctx context.Context, c call) bool {
	result, err := s.send(ctx, c)
	if err != nil {
		s.counters.CallsFailed.Add(1)
	}
	next := s.do(func(now time.Time, m *machine) []call { return m.finished(now, c.ID, result) })
	for _, follow := range next {
		s.make(ctx, follow)
	}
	return result.Answer != nil && result.Answer.From.VM == c.VM
}

// send makes one call. An answer of a process that may not speak for its sender
// is dropped.
func (s *Service) send(ctx context.Context, c call) (outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var responder peer.Caller
	result, err := s.exchangeMessages(peer.ContextWithResponder(ctx, &responder), c)
	if err != nil {
		return outcome{}, err
	}
	if !responder.MaySpeakFor(result.Answer.From.VM) {
		s.counters.Forged.Add(1)
		return outcome{}, Forged.New("%q answered for %s", responder.Names, result.Answer.From.VM)
	}
	return result, nil
}

func (s *Service) exchangeMessages(ctx context.Context, c call) (outcome, error) {
	client := s.client(c.Address)
	envelope := messageToProto(&c.Request)
	switch c.Kind {
	case callPing:
		answer, err := client.Ping(ctx, connect.NewRequest(&membershipv1.PingRequest{Envelope: envelope}))
		if err != nil {
			return outcome{}, err
		}
		return answered(answer.Msg.GetEnvelope()), nil
	case callIndirect:
		request := &membershipv1.IndirectPingRequest{Envelope: envelope, Vm: c.Target}
		answer, err := client.IndirectPing(ctx, connect.NewRequest(request))
		if err != nil {
			return outcome{}, err
		}
		result := answered(answer.Msg.GetEnvelope())
		result.Reached = answer.Msg.GetReached()
		return result, nil
	default:
		request := &membershipv1.ExchangeRequest{Envelope: envelope, Buckets: c.Request.Buckets}
		answer, err := client.Exchange(ctx, connect.NewRequest(request))
		if err != nil {
			return outcome{}, err
		}
		result := answered(answer.Msg.GetEnvelope())
		result.Answer.Buckets = answer.Msg.GetBuckets()
		result.Answer.Truncated = answer.Msg.GetTruncated()
		return result, nil
	}
}

func answered(envelope *membershipv1.Envelope) outcome {
	answer := messageFromProto(envelope)
	return outcome{Answer: &answer}
}

// client returns the client of an address. Clients are kept, since making one
// costs more than a call.
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
