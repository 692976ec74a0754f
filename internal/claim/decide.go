package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
)

// decide converts the state of a key into the decision for one attempt.
func (c *Claims) decide(ctx context.Context, key ParsedKey, writer *claimv1.Writer, state *claimv1.KeyState) (Decision, error) {
	switch state.GetExecution() {
	case claimv1.Execution_EXECUTION_NOT_RUN:
		return Decision{Kind: ClosedNotRun}, nil
	case claimv1.Execution_EXECUTION_UNKNOWN:
		return Decision{Kind: Unknown}, nil
	case claimv1.Execution_EXECUTION_RAN:
		return c.decideRan(ctx, key, state), nil
	}
	if proto.Equal(state.GetClaimant(), writer) {
		return Decision{Kind: Run, Ticket: c.ticket(key, writer)}, nil
	}
	if aliveIn(c.deps.View, state.GetClaimant()) {
		return Decision{Kind: Running, RetryAfter: c.settings.RetryAfter}, nil
	}
	return Decision{Kind: Unknown}, nil
}

func (c *Claims) ticket(key ParsedKey, writer *claimv1.Writer) *Ticket {
	return &Ticket{
		key:     key,
		writer:  writer,
		expires: time.Now().Add(c.settings.ExecuteWithin),
		finish:  c.finish,
	}
}

// decideRan decides a repeat of a call that ran.
func (c *Claims) decideRan(ctx context.Context, key ParsedKey, state *claimv1.KeyState) Decision {
	if state.GetDelivered() || state.GetDeliverer() != nil {
		return c.decideDelivery(state)
	}
	writer := c.newWriter()
	result := c.submit(ctx, deliveryRecord(key.Key, writer), key.Issued)
	switch {
	case result.status == claimv1.Settlement_SETTLEMENT_IN_DOUBT:
		c.record(returnedRecord(key.Key, writer), key.Issued)
	case result.status != claimv1.Settlement_SETTLEMENT_SETTLED:
	case proto.Equal(result.state.GetDeliverer(), writer):
		return Decision{Kind: Recorded, Answer: answerFrom(result.state.GetAnswer()), Delivery: c.delivery(key, writer)}
	case result.state.GetDelivered() || result.state.GetDeliverer() != nil:
		return c.decideDelivery(result.state)
	}
	return Decision{Kind: Withheld, RetryAfter: c.settings.RetryAfter}
}

// decideDelivery decides a repeat of a call whose answer was delivered or is
// being delivered by another attempt.
func (c *Claims) decideDelivery(state *claimv1.KeyState) Decision {
	switch {
	case state.GetDelivered():
		return Decision{Kind: Answered}
	case aliveIn(c.deps.View, state.GetDeliverer()):
		return Decision{Kind: Withheld, RetryAfter: c.settings.RetryAfter}
	}
	return Decision{Kind: DeliveryUnknown}
}

// delivery returns the right to deliver that the writer's delivery record
// obtained.
func (c *Claims) delivery(key ParsedKey, writer *claimv1.Writer) *Delivery {
	return &Delivery{
		returned:  func() { c.record(returnedRecord(key.Key, writer), key.Issued) },
		confirmed: func() { c.record(confirmedRecord(key.Key, writer), key.Issued) },
	}
}
