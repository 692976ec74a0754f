package relay

import "github.com/ospreyshed/ospreyshed/internal/upstream"

// keyRejected reports whether the request must not be sent because its key is no longer accepted. It
// records the refusal. A request that an endpoint may have run goes on: its key was accepted when it
// was sent.
func (r *Relay) keyRejected(x *exchange) bool {
	if x.mayHaveRun || x.request.Reauthenticate == nil {
		return false
	}
	team, refusal := x.request.Reauthenticate()
	if refusal != nil {
		x.obstacle, x.refusal, x.retryAfter = refusal.Reason, refusal.Reason, refusal.RetryAfter
		x.unauthenticated = refusal.Unauthenticated
		return true
	}
	// No other attempt of the request is in progress before an endpoint may have run it.
	x.request.Team = team
	return false
}

// permitRequest returns why an endpoint must not get the request now. The key may have been removed, or a stop
// have begun, while the connection was opened.
func (r *Relay) permitRequest(x *exchange, name string) error {
	if r.mayBeCutOff(x) {
		return upstream.Withheld.New("%s", stoppingRefusal.Reason)
	}
	if err := r.permit(name); err != nil {
		return err
	}
	if x.mayHaveRun || x.request.Reauthenticate == nil {
		return nil
	}
	if _, refusal := x.request.Reauthenticate(); refusal != nil {
		return upstream.Withheld.New("%s", refusal.Reason)
	}
	return nil
}
