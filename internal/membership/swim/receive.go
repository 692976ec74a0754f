package swim

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// receive processes a request and returns the response. The error of a dropped
// request has one of the error types of this package.
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

// admit checks the sender of a request and applies the sender's update about
// itself.
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

// check returns an error if a message is too large or its sender is invalid.
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

// applySender applies the sender's update about itself.
func (m *machine) applySender(now time.Time, received *message) (*record, error) {
	m.apply(now, received.From, received.From.Zone)
	sender, ok := m.records[received.From.VM]
	if !ok {
		return nil, Unlisted.New("%s in %s", received.From.VM, received.From.Zone)
	}
	return sender, nil
}

// merge applies the pulses and the updates of a message from a sender in a zone.
func (m *machine) merge(now time.Time, received *message, zone string) {
	m.lastHeard = now
	m.mergePulses(now, received.Pulses)
	for i := range received.Updates {
		m.apply(now, received.Updates[i], zone)
	}
}

// apply applies one update from a sender in a zone.
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

// isRemoteDowngrade reports whether a sender of another zone reports a member of
// the local zone as suspect or gone. Only VMs of a zone decide on its members.
// Otherwise the members of a partitioned zone would be declared gone by the view of
// the other zones once the partition heals.
func (m *machine) isRemoteDowngrade(u *update, r *record, zone string) bool {
	return u.State != membership.Alive && r.Zone == m.self.Zone && zone != m.self.Zone
}

// addMember adds a record for a new member.
func (m *machine) addMember(now time.Time, u update) {
	if u.State == membership.Gone || len(m.records) >= maxMembers {
		return
	}
	r := &record{update: update{VM: u.VM, State: membership.Gone}}
	m.records[u.VM] = r
	m.zonePulse(now, u.Zone)
	m.store(now, r, u)
}

// refute announces a higher refutation if an update reports this VM as suspect or
// gone, or has a higher refutation itself. An update of a higher incarnation shows
// another process with this VM's name and is only counted.
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

// receiveIndirect processes a request to ping another member. It returns the
// response and the ping to make, nil if the member is unknown.
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

// handleOutcome processes the outcome of a call and returns the calls that follow
// from it.
func (m *machine) handleOutcome(now time.Time, id uint64, result outcome) []call {
	done, ok := m.calls[id]
	if !ok {
		return nil
	}
	delete(m.calls, id)
	m.candidates.markFinished(&done.call)
	responded := result.Response != nil && m.handleResponse(now, done, result.Response)
	if done.probe != nil {
		reached := responded && (done.Kind == callPing || result.Reached)
		return m.handleProbeOutcome(now, done.probe, reached, m.conclusive(now, done))
	}
	if done.Kind == callExchange && responded {
		return m.handleExchangeResponse(now, done, result.Response)
	}
	return nil
}

// conclusive reports whether the failure of a call is evidence against the other
// VM. A call that took far longer than its timeout only shows that this VM was
// paused.
func (m *machine) conclusive(now time.Time, done *pendingCall) bool {
	return now.Sub(done.started) < done.Timeout+pauseThreshold/2
}

// handleResponse applies a response and reports whether it is from the VM that was
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
