package swim

import (
	"math/bits"
	"time"
)

const (
	// probePeriod is the time between two probes by one VM.
	probePeriod = 500 * time.Millisecond
	// pingTimeout bounds one ping.
	pingTimeout = 300 * time.Millisecond
	// indirectTimeout bounds a ping through another VM.
	indirectTimeout = 700 * time.Millisecond
	// exchangeTimeout bounds one exchange of digests.
	exchangeTimeout = time.Second
	// linkPeriod is the time between two exchanges with other zones by one VM.
	linkPeriod = time.Second
	// syncPeriod is the time between two exchanges within the zone by one VM.
	syncPeriod = 5 * time.Second
	// joinPeriod is the time between two calls to addresses without a member.
	joinPeriod = time.Second
	// joinLimit bounds the time that a VM takes to call all others once.
	joinLimit = 3 * time.Second
	// tickPeriod is the time between two calls of machine.tick.
	tickPeriod = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks from which on the process
	// counts as having been paused.
	pauseThreshold = time.Second
	// goneRetention is how long a member that is gone is remembered.
	goneRetention = 5 * time.Minute
	// minSuspicion is the least time that a suspected VM has to refute.
	minSuspicion = 3 * time.Second
	// zoneGrace is the least time without a pulse after which a zone is suspected.
	zoneGrace = 3 * time.Second
)

const (
	// indirectProbes is the number of VMs that are asked for an indirect ping.
	indirectProbes = 3
	// leaveCalls is the number of VMs of the zone that a VM tells of its end.
	leaveCalls = 3
	// suspicionRounds and pulseRounds give periods per doubling of the zone.
	suspicionRounds = 3
	pulseRounds     = 2
	// isolationFactor lengthens a suspicion of a VM that hears from nobody.
	isolationFactor = 2
	// retransmits is the number of times that an update is sent per doubling of
	// the zone.
	retransmits = 3
	// linkSenders is the number of VMs of a zone that exchange digests with
	// another zone, linkReceivers the number of VMs there that they choose from.
	linkSenders   = 2
	linkReceivers = 2
	// randomLink is the share of exchanges, one in so many, with a random VM of
	// the other zone.
	randomLink = 4
	// maxPulls bounds the exchanges that follow on one another.
	maxPulls = 20
)

const (
	// maxPiggyback is the number of updates that a ping carries.
	maxPiggyback = 8
	// maxExchange is the number of members that an exchange carries.
	maxExchange = 32
	// differencesPerSecond and differenceBurst bound the exchanges that this VM
	// answers with differences, so that a zone that comes together again makes no
	// burst. Others are answered as if there were none.
	differencesPerSecond = 4
	differenceBurst      = 16
	// maxUpdates is the largest number of updates that a message may hold.
	maxUpdates = 64
	// maxMembers bounds the members that are remembered.
	maxMembers = 4096
	// maxZones bounds the zones that are remembered.
	maxZones = 64
	// maxNameBytes bounds names of VMs and zones.
	maxNameBytes = 63
	// maxAddressBytes bounds an address.
	maxAddressBytes = 64
	// bucketCount is the number of groups that members are compared in.
	bucketCount = 16
	// maxMessageBytes bounds one encoded message.
	maxMessageBytes = 32 << 10
)

// doublings returns the logarithm of n+1 to base 2, rounded up.
func doublings(n int) int { return bits.Len(uint(n)) }

// suspicionTimeout is the time in which a suspected VM of a zone of n refutes.
func suspicionTimeout(n int) time.Duration {
	return max(minSuspicion, time.Duration(suspicionRounds*doublings(n))*probePeriod)
}

// zoneSuspectAfter is the time without a pulse from which on another zone is
// suspected, as seen from a zone of n VMs. News takes some periods to reach all.
func zoneSuspectAfter(n int) time.Duration {
	return zoneGrace + time.Duration(pulseRounds*doublings(n))*probePeriod
}

// zoneGoneAfter is the time without a pulse from which on the VMs of another
// zone are gone.
func zoneGoneAfter(n int) time.Duration { return 2 * zoneSuspectAfter(n) }
