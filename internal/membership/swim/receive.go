package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// receive takes a request and returns the answer. A request that is dropped
// yields a typed error.
func (m *machine) receive(now time.Time, request *message) (message, error) {
	m.counters.Received.Add(1)
	sender, err := m.admit(now, request)
	if err != nil {
		return message{}, err
	}
	m.merge(now, request, sender.Zone)
	response := m.compose(request.From.VM)
	if len(request.Buckets) > 0 {
		m.addDifferences(now, &response, request.Buckets)
	}
	return response, nil
}

// admit checks the sender of a request and takes in what it says of itself.
func (m *machine) admit(now time.Time, request *message) (*record, error) {
	if err := m.check(request); err != nil {
		return nil, err
	}
	known, ok := m.records[request.From.VM]
	if ok && request.From.Incarnation < known.Incarnation {
		m.counters.Stale.Add(1)
		return nil, Stale.New("incarnation %d of %s is not %d", request.From.Incarnation, known.VM, known.Incarnation)
	}
	sender, err := m.applySender(now, request)
	if err != nil {
		return nil, err
	}
	if !sender.window.accept(request.Sequence) {
		m.counters.Replayed.Add(1)
		return nil, Replayed.New("message %d of %s", request.Sequence, sender.VM)
	}
	return sender, nil
}

// check reports a message that is too large or not well-formed.
func (m *machine) check(received *message) error {
	if len(received.Updates) > maxUpdates || len(received.Pulses) > maxZones || len(received.Buckets) > bucketCount {
		m.counters.Oversized.Add(1)
		return Oversized.New("%d updates, %d pulses", len(received.Updates), len(received.Pulses))
	}
	if !received.From.valid() || received.From.VM == m.self.VM {
		m.counters.Malformed.Add(1)
		return Malformed.New("sender %q", received.From.VM)
	}
	return nil
}

// applySender takes in what the sender says of itself.
func (m *machine) applySender(now time.Time, received *message) (*record, error) {
	m.apply(now, received.From, received.From.Zone)
	sender, ok := m.records[received.From.VM]
	if !ok {
		return nil, Unlisted.New("%s in %s", received.From.VM, received.From.Zone)
	}
	return sender, nil
}

// merge takes in what a message says of others.
func (m *machine) merge(now time.Time, received *message, zone string) {
	m.lastHeard = now
	m.mergePulses(now, received.Pulses)
	for i := range received.Updates {
		m.apply(now, received.Updates[i], zone)
	}
}

// apply takes in one update from a sender in a zone.
func (m *machine) apply(now time.Time, u update, zone string) {
	if !u.valid() {
		m.counters.Malformed.Add(1)
		return
	}
	if u.VM == m.self.VM {
		m.refute(now, u)
		return
	}
	if !m.isConfigured(u.VM, u.Zone) {
		m.counters.Unlisted.Add(1)
		return
	}
	r, known := m.records[u.VM]
	if !known {
		m.addMember(now, u)
		return
	}
	if u.Incarnation < r.Incarnation {
		m.counters.StaleUpdates.Add(1)
		return
	}
	if u.supersedes(&r.update) && !m.isRemoteDowngrade(&u, r, zone) {
		m.store(now, r, u)
	}
}

// isRemoteDowngrade reports whether a sender of another zone accuses a member of
// this VM's zone. Only the zone itself decides on its members, so that a zone
// that was cut off is not declared gone by the others' view when it heals.
func (m *machine) isRemoteDowngrade(u *update, r *record, zone string) bool {
	return u.State != membership.Alive && r.Zone == m.self.Zone && zone != m.self.Zone
}

// addMember takes a member that is new.
func (m *machine) addMember(now time.Time, u update) {
	if u.State == membership.Gone || len(m.records) >= maxMembers {
		return
	}
	r := &record{update: update{VM: u.VM, State: membership.Gone}}
	m.records[u.VM] = r
	m.zonePulse(now, u.Zone)
	m.store(now, r, u)
}

// refute answers an accusation of this VM by a higher refutation.
func (m *machine) refute(now time.Time, u update) {
	if u.Incarnation > m.self.Incarnation {
		m.counters.Duplicates.Add(1)
		return
	}
	needsRefutation := u.State != membership.Alive || u.Refutation > m.self.Refutation
	if u.Incarnation < m.self.Incarnation || u.Refutation < m.self.Refutation || !needsRefutation || m.left() {
		return
	}
	if u.State == membership.Gone {
		m.counters.DeclaredGone.Add(1)
	}
	m.counters.Refutations.Add(1)
	refuted := m.self.update
	refuted.Refutation = u.Refutation + 1
	m.store(now, m.self, refuted)
}

// receiveIndirect takes a request for a ping of another member and returns the
// answer and the call that the ping takes, nil if the member is unknown.
func (m *machine) receiveIndirect(now time.Time, request *message, target string) (message, *call, error) {
	response, err := m.receive(now, request)
	if err != nil {
		return message{}, nil, err
	}
	r, ok := m.records[target]
	if !ok || r == m.self {
		return response, nil, nil
	}
	pingCall := m.ping(now, r, nil)
	return response, &pingCall, nil
}

// handleOutcome takes the outcome of a call and returns the calls that follow on it.
func (m *machine) handleOutcome(now time.Time, id uint64, result outcome) []call {
	done, ok := m.calls[id]
	if !ok {
		return nil
	}
	delete(m.calls, id)
	m.candidates.markFinished(&done.call)
	answered := result.Response != nil && m.handleResponse(now, done, result.Response)
	if done.probe != nil {
		reached := answered && (done.Kind == callPing || result.Reached)
		return m.handleProbeOutcome(now, done.probe, reached, m.conclusive(now, done))
	}
	if done.Kind == callExchange && answered {
		return m.handleExchangeResponse(now, done, result.Response)
	}
	return nil
}

// conclusive reports whether a failed call says something about the other VM.
// One that took far longer than its time-out says that this VM was paused.
func (m *machine) conclusive(now time.Time, done *pendingCall) bool {
	return now.Sub(done.started) < done.Timeout+pauseThreshold/2
}

// handleResponse takes in an answer and reports whether it is from the VM that was
// called.
func (m *machine) handleResponse(now time.Time, done *pendingCall, response *message) bool {
	if m.check(response) != nil {
		return false
	}
	sender, err := m.applySender(now, response)
	if err != nil {
		return false
	}
	m.merge(now, response, sender.Zone)
	return done.VM == "" || done.VM == response.From.VM
}
