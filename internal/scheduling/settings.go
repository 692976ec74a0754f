package scheduling

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// Settings are the parameters of a Coordinator.
type Settings struct {
	// Model gives the figures that predictions start from.
	Model configuration.Model
	// Zone is the availability zone of the engines.
	Zone string
}

const (
	// GrantLease is how long a grant lives without a renewal.
	GrantLease = time.Second
	// TokensPerBlock is the length of a prefix block.
	TokensPerBlock = 256

	// loadReportLag bounds the age of what a load report tells.
	loadReportLag = time.Second
	// tombstoneLife is how long a released id is remembered, so that a late
	// message does not revive it.
	tombstoneLife = 5 * time.Second
	// prefillsInFlight bounds the prefills granted at once on one engine.
	prefillsInFlight = 2
	// prefillLead is how long before a prefill's predicted end the next one
	// is granted, so that the engine is not idle for a message's round trip.
	prefillLead = 30 * time.Millisecond
	// retentionShare is the part of the KV retention that a transfer may take.
	retentionShare = 0.8
	// overlapMargin is the least time between the predicted end of a decode
	// and the moment at which its slot must be free.
	overlapMargin = 20 * time.Millisecond
	// agingStep is the wait after which a demand is served one priority higher.
	agingStep = 5 * time.Second
	// bypassLimit is how long the first demand in order may be passed by
	// others that fit where it does not.
	bypassLimit = 250 * time.Millisecond
	// retryInterval is the period of placement attempts while demands wait.
	retryInterval = 5 * time.Millisecond
	// idleWake is the period of wakes without any work.
	idleWake = time.Second
	// minRetryAfter and noEngineRetryAfter bound the advice in refusals.
	minRetryAfter      = 50 * time.Millisecond
	noEngineRetryAfter = time.Second
)
