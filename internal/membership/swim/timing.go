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
	// exchangeTimeout bounds one digest exchange.
	exchangeTimeout = time.Second
	// linkPeriod is the time between two exchanges of one VM with other zones.
	linkPeriod = time.Second
	// syncPeriod is the time between two exchanges of one VM within its zone.
	syncPeriod = 5 * time.Second
	// joinPeriod is the time between two calls to addresses at which no member is
	// known.
	joinPeriod = time.Second
	// youngPhase is the time after its start for which a VM exchanges digests every
	// youngPeriod, with the others of its zone and with addresses at which no member is
	// known. When all VMs start at once, none of them knows the others.
	youngPhase  = 3 * time.Second
	youngPeriod = 250 * time.Millisecond
	// joinLimit is the time after the first configuration at which a VM counts as
	// joined even if its first calls to the others have not finished.
	joinLimit = 3 * time.Second
	// tickPeriod is the time between two calls of machine.tick.
	tickPeriod = 100 * time.Millisecond
	// pauseThreshold is the minimum time between two ticks for which the process
	// counts as having been paused.
	pauseThreshold = time.Second
	// goneRetention is how long the record of a gone member is kept.
	goneRetention = 5 * time.Minute
	// minSuspicion is the minimum time that a suspected VM has to refute the
	// suspicion.
	minSuspicion = 3 * time.Second
	// zoneGrace is the minimum time without a new pulse after which a zone is
	// suspected.
	zoneGrace = 3 * time.Second
)

const (
	// indirectProbes is the number of VMs asked to ping an unresponsive VM.
	indirectProbes = 3
	// leaveCalls is the number of VMs of its zone that a leaving VM notifies.
	leaveCalls = 3
	// suspicionRounds and pulseRounds are the numbers of probe periods per doubling
	// of the zone's size in suspicionTimeout and in zoneSuspectAfter.
	suspicionRounds = 3
	pulseRounds     = 2
	// isolationFactor multiplies the suspicion timeout at a VM that has itself
	// received nothing since the suspicion began.
	isolationFactor = 2
	// retransmits is the number of times that an update is sent per doubling of
	// the zone's size.
	retransmits = 3
	// linkSenders is the number of VMs of a zone that exchange digests with
	// another zone, linkReceivers the number of VMs of the other zone from which
	// they choose.
	linkSenders   = 2
	linkReceivers = 2
	// randomLink sets the share of exchanges with another zone that go to a random
	// VM of that zone instead of a receiver: one in randomLink.
	randomLink = 4
	// maxPulls bounds the consecutive exchanges that fetch what truncated responses
	// left out.
	maxPulls = 20
)

const (
	// maxPiggyback is the maximum number of updates piggybacked on a message.
	maxPiggyback = 8
	// maxExchange is the maximum number of members that one message of an exchange
	// carries because their digests differ.
	maxExchange = 32
	// differencesPerSecond and differenceBurst limit the rate of responses that
	// list differing members, so that a healed partition causes no burst of
	// traffic. Responses beyond the limit list none, as if the digests were equal.
	differencesPerSecond = 16
	differenceBurst      = 32
	// maxUpdates is the maximum number of updates accepted in a message.
	maxUpdates = 64
	// maxMembers bounds the number of records of members.
	maxMembers = 4096
	// maxZones bounds the number of zones with a known pulse, and the pulses
	// accepted in a message.
	maxZones = 64
	// maxNameBytes bounds the names of VMs and zones.
	maxNameBytes = 63
	// maxAddressBytes bounds an address.
	maxAddressBytes = 64
	// bucketCount is the number of buckets into which members are hashed for
	// digests.
	bucketCount = 16
	// maxMessageBytes bounds one encoded message.
	maxMessageBytes = 32 << 10
)

// doublings returns the logarithm of n+1 to base 2, rounded up.
func doublings(n int) int { return bits.Len(uint(n)) }

// suspicionTimeout returns the time that a suspected VM in a zone of n VMs has to
// refute the suspicion.
func suspicionTimeout(n int) time.Duration {
	return max(minSuspicion, time.Duration(suspicionRounds*doublings(n))*probePeriod)
}

// zoneSuspectAfter returns the time without a new pulse after which the VMs of a
// zone of n VMs suspect another zone. It grows with n because a pulse takes
// several periods to reach all VMs.
func zoneSuspectAfter(n int) time.Duration {
	return zoneGrace + time.Duration(pulseRounds*doublings(n))*probePeriod
}

// zoneGoneAfter returns the time without a new pulse after which the VMs of a
// zone of n VMs consider the VMs of another zone gone.
func zoneGoneAfter(n int) time.Duration { return 2 * zoneSuspectAfter(n) }
