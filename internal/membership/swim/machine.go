package swim

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/ospreyshed/ospreyshed/internal/membership"
)

// identity identifies a VM and its process.
type identity struct {
	VM, Zone, Address string
	Incarnation       uint64
}

// machine is the state machine of the protocol: it decides which calls to make and
// in which state each member is. It is not safe for concurrent use; the current
// time is an argument of each call.
type machine struct {
	self     *record
	random   *rand.Rand
	counters *Counters

	records    map[string]*record
	digests    digests
	broadcasts broadcastQueue
	pulses     map[string]*zonePulse
	candidates candidates
	// configuredZones holds the zone of each entry VM of the configuration by VM
	// name; empty without a configuration.
	configuredZones map[string]string
	// cached is the topology, nil after a change.
	cached *topology

	sequence uint64
	lastCall uint64
	calls    map[uint64]*pendingCall

	probeOrder []string
	linkIndex  int
	lastTick   time.Time
	nextProbe  time.Time
	nextLink   time.Time
	nextSync   time.Time
	nextJoin   time.Time
	lastHeard  time.Time

	startedAt time.Time
	// spread is set once the time of the first exchange after the young phase is drawn.
	spread bool
	// configuredAt is the time at which the first configuration was applied.
	configuredAt time.Time
	joined       bool

	// differences limits the rate of responses that list differing members.
	differences *rate.Limiter

	changes []change
	// changed reports that a record has changed since the last takeChanges;
	// zoneStates holds the states of the zones at that time.
	changed    bool
	zoneStates map[string]membership.State
}

// pendingCall is a call whose outcome is pending.
type pendingCall struct {
	call
	started time.Time
	probe   *probe
	// pulls counts the consecutive exchanges before this one.
	pulls int
}

// change is a change of a member's state in the view.
type change struct {
	member membership.Member
	// previous is the state before the change, empty if the member is new.
	previous membership.State
}

func newMachine(now time.Time, self identity, random *rand.Rand, counters *Counters) *machine {
	m := &machine{
		random:     random,
		counters:   counters,
		records:    make(map[string]*record),
		broadcasts: newBroadcastQueue(),
		pulses:     make(map[string]*zonePulse),
		candidates: newCandidates(),
		calls:      make(map[uint64]*pendingCall),
		zoneStates: make(map[string]membership.State),

		differences: rate.NewLimiter(differencesPerSecond, differenceBurst),
		lastTick:    now,
		nextProbe:   now.Add(randomDuration(random, probePeriod)),
		nextLink:    now.Add(randomDuration(random, linkPeriod)),
		nextSync:    now.Add(randomDuration(random, youngPeriod)),
		startedAt:   now,
		nextJoin:    now,
		lastHeard:   now,
	}
	m.self = &record{since: now, update: update{
		VM: self.VM, Zone: self.Zone, Address: self.Address,
		Incarnation: self.Incarnation, State: membership.Alive,
	}}
	m.records[self.VM] = m.self
	m.digests.toggle(&m.self.update)
	m.changed = true
	m.advancePulse(now)
	return m
}

func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// tick returns the calls that are due. It is called every tickPeriod.
func (m *machine) tick(now time.Time) []call {
	m.compensatePause(now)
	m.expireSuspicions(now)
	m.forgetGone(now)
	if m.left() {
		return nil
	}
	var calls []call
	if due(now, &m.nextProbe, probePeriod) {
		m.advancePulse(now)
		calls = append(calls, m.startProbe(now)...)
	}
	if due(now, &m.nextLink, linkPeriod) {
		calls = append(calls, m.startLink(now)...)
	}
	if m.syncDue(now) {
		calls = append(calls, m.startSync(now)...)
	}
	if !m.configuredAt.IsZero() && !m.hasJoined(now) {
		calls = append(calls, m.startFirstJoin(now)...)
	}
	if due(now, &m.nextJoin, m.joinEvery(now)) {
		calls = append(calls, m.startJoin(now)...)
	}
	return calls
}

// young reports whether this VM has just started.
func (m *machine) young(now time.Time) bool { return now.Sub(m.startedAt) < youngPhase }

// joinEvery returns the time between two calls to addresses at which no member is known.
func (m *machine) joinEvery(now time.Time) time.Duration {
	if m.young(now) {
		return youngPeriod
	}
	return joinPeriod
}

// syncDue reports whether an exchange within the zone is due and sets the time of the
// next one. The first one after the young phase comes at a random time, since many VMs
// may have started together.
func (m *machine) syncDue(now time.Time) bool {
	if m.young(now) {
		return due(now, &m.nextSync, youngPeriod)
	}
	if m.spread {
		return due(now, &m.nextSync, syncPeriod)
	}
	m.spread = true
	m.nextSync = now.Add(randomDuration(m.random, syncPeriod))
	return false
}

// due reports whether a periodic action is due and sets its next time. Missed
// periods are skipped.
func due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(period)
	if next.Before(now) {
		*next = now.Add(period)
	}
	return true
}

// compensatePause extends all deadlines by the time for which this process was
// paused, during which it could not receive messages.
func (m *machine) compensatePause(now time.Time) {
	paused := now.Sub(m.lastTick)
	m.lastTick = now
	if paused < pauseThreshold {
		return
	}
	m.counters.Pauses.Add(1)
	for _, r := range m.records {
		if r.State == membership.Suspect {
			r.since = r.since.Add(paused)
		}
	}
	for _, p := range m.pulses {
		p.increasedAt = p.increasedAt.Add(paused)
	}
}

// expireSuspicions declares those suspects of the local zone gone that did not
// refute the suspicion in time.
func (m *machine) expireSuspicions(now time.Time) {
	for _, r := range m.records {
		if r.State == membership.Suspect && r.Zone == m.self.Zone && m.suspicionOver(now, r) {
			m.downgrade(now, r, membership.Gone)
		}
	}
}

// suspicionOver reports whether a suspicion has timed out. The timeout is longer
// if this VM has received nothing since the suspicion began, because then this VM
// is likely isolated itself.
func (m *machine) suspicionOver(now time.Time, r *record) bool {
	timeout := suspicionTimeout(m.topology().zoneSize())
	if m.lastHeard.Before(r.since) {
		timeout *= isolationFactor
	}
	return now.Sub(r.since) >= timeout
}

// downgrade sets a worse state of a member and queues the update for sending.
func (m *machine) downgrade(now time.Time, r *record, state membership.State) {
	downgraded := r.update
	downgraded.State = state
	if !downgraded.supersedes(&r.update) {
		return
	}
	if state == membership.Suspect {
		m.counters.Suspicions.Add(1)
	}
	m.store(now, r, downgraded)
}

// store replaces the update of a member's record and queues it for sending.
func (m *machine) store(now time.Time, r *record, u update) {
	m.digests.toggle(&r.update)
	if u.Incarnation != r.Incarnation {
		m.retireIncarnation(r)
	}
	if u.State != r.State || u.Incarnation != r.Incarnation {
		r.since = now
	}
	moved := u.Address != r.Address
	r.update = u
	m.digests.toggle(&r.update)
	m.broadcasts.add(u.VM)
	m.cached, m.changed = nil, true
	if moved {
		m.resolveAddressConflicts(now, r)
	}
}

// retireIncarnation reports the incarnation of a record as gone and resets the
// state that is kept per incarnation.
func (m *machine) retireIncarnation(r *record) {
	if r.Incarnation != 0 && r.reported != membership.Gone && r.VM != m.self.VM {
		previous := r.member()
		previous.State = membership.Gone
		m.changes = append(m.changes, change{member: previous, previous: r.reported})
	}
	r.reported = ""
	r.window = replayWindow{}
}

// resolveAddressConflicts declares those members gone whose address a newer process
// with another name has taken over.
func (m *machine) resolveAddressConflicts(now time.Time, owner *record) {
	if owner.State == membership.Gone {
		return
	}
	for _, r := range m.records {
		conflicts := r != owner && r.VM != m.self.VM && r.Address == owner.Address
		if conflicts && r.State != membership.Gone && r.Incarnation < owner.Incarnation {
			m.downgrade(now, r, membership.Gone)
		}
	}
}

// forgetGone removes the records of members that have been gone for goneRetention.
func (m *machine) forgetGone(now time.Time) {
	for vm, r := range m.records {
		if r.State == membership.Gone && r.reported == membership.Gone && r != m.self && now.Sub(r.since) >= goneRetention {
			delete(m.records, vm)
			delete(m.broadcasts.sent, vm)
		}
	}
}

// takeChanges returns the changes since the last call. Superseded incarnations come
// first, then the changes of members sorted by VM name.
func (m *machine) takeChanges(now time.Time) []change {
	if !m.hasChanged(now) {
		return nil
	}
	for _, vm := range sortedKeys(m.records) {
		r := m.records[vm]
		state := m.effective(now, r)
		if r.reported == state && r.reportedDraining == r.Draining {
			continue
		}
		seen := r.member()
		seen.State = state
		m.changes = append(m.changes, change{member: seen, previous: r.reported})
		r.reported, r.reportedDraining = state, r.Draining
	}
	changes := m.changes
	m.changes = nil
	return changes
}

// hasChanged reports whether a record or the state of a zone has changed since
// the last call.
func (m *machine) hasChanged(now time.Time) bool {
	changed := m.changed
	m.changed = false
	for zone := range m.pulses {
		state := m.zoneState(now, zone)
		changed = changed || m.zoneStates[zone] != state
		m.zoneStates[zone] = state
	}
	return changed
}

// members returns all members that are alive or suspect, sorted by VM name.
func (m *machine) members(now time.Time) []membership.Member {
	members := make([]membership.Member, 0, len(m.records))
	for _, r := range m.records {
		seen := r.member()
		seen.State = m.effective(now, r)
		if seen.State != membership.Gone {
			members = append(members, seen)
		}
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// setDraining announces that this VM accepts no new requests.
func (m *machine) setDraining(now time.Time) {
	if m.self.Draining || m.left() {
		return
	}
	changed := m.self.update
	changed.Draining = true
	changed.Refutation++
	m.store(now, m.self, changed)
}

// leave announces that this VM leaves and returns the calls that notify others.
func (m *machine) leave(now time.Time) []call {
	if m.left() {
		return nil
	}
	changed := m.self.update
	changed.State = membership.Gone
	changed.Draining = true
	changed.Refutation++
	m.store(now, m.self, changed)
	var calls []call
	targets := m.pick(m.topology().local, leaveCalls)
	for _, zone := range m.topology().zones {
		targets = append(targets, m.pick(m.topology().remote[zone], 1)...)
	}
	for _, r := range targets {
		calls = append(calls, m.exchange(now, r.Address, r.VM, 0))
	}
	return calls
}

// left reports whether this VM has announced that it leaves.
func (m *machine) left() bool { return m.self.State == membership.Gone }

func sortedKeys[V any](values map[string]V) []string { return slices.Sorted(maps.Keys(values)) }
