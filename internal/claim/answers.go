package claim

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// AnswerPeers calls the answer service of other entry VMs.
type AnswerPeers interface {
	// Update sends a phase change to the owner of the key's slot.
	Update(ctx context.Context, address string, request *claimv1.UpdateRequest) (*claimv1.UpdateResponse, error)
	// Replicate copies entries to the standby of a slot.
	Replicate(ctx context.Context, address string, request *claimv1.ReplicateRequest) (*claimv1.ReplicateResponse, error)
	// TakeOver fences earlier owners of a slot.
	TakeOver(ctx context.Context, address string, request *claimv1.TakeOverRequest) (*claimv1.TakeOverResponse, error)
}

// AnswerDependencies are the components that an AnswerRegistry uses.
type AnswerDependencies struct {
	View  membership.View
	Peers AnswerPeers
	// Zones returns the names of the configured availability zones.
	Zones func() []string
}

// Slots is the number of partitions of the keys of one home zone.
const Slots = 16

// Intervals and timeouts of the answer registry.
const (
	// peerTimeout bounds one call to a peer.
	peerTimeout = 300 * time.Millisecond
	// maintainInterval is how often the registry checks for slots to take over.
	maintainInterval = 200 * time.Millisecond
	// evictInterval is how often expired entries are evicted.
	evictInterval = 30 * time.Second
	// fenceRetryDelay is the delay between calls to a VM that has to be fenced.
	fenceRetryDelay = 50 * time.Millisecond
	// memberRetention is how long a VM is still fenced after it left the
	// membership view.
	memberRetention = 10 * time.Minute
)

// AnswerRegistry decides which attempt of a model-backed call may send its
// answer. Its state is kept in the memory of the VMs of a key's home zone; it
// does not use the log. It is safe for concurrent use.
type AnswerRegistry struct {
	deps        AnswerDependencies
	settings    Settings
	counters    *counters
	outbox      *outbox
	sequence    atomic.Uint64
	start       time.Time
	slots       [Slots]*slot
	zoneMembers zoneMembers

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewAnswerRegistry returns a registry that runs until Stop. Errors are of type
// BadSettings.
func NewAnswerRegistry(deps AnswerDependencies, settings Settings) (*AnswerRegistry, error) {
	if settings.KeyWindow <= 0 {
		return nil, BadSettings.New("the key window must be positive")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &AnswerRegistry{
		deps:     deps,
		settings: settings,
		counters: newCounters(),
		start:    time.Now(),
		cancel:   cancel,
	}
	r.outbox = newOutbox(ctx, &r.settings, r.counters)
	for i := range r.slots {
		r.slots[i] = newSlot()
	}
	r.running.Go(func() { r.maintain(ctx) })
	return r, nil
}

// Stop cancels all background work and waits for it to end.
func (r *AnswerRegistry) Stop() {
	r.cancel()
	r.running.Wait()
	r.outbox.stop()
}

// Flush waits until the ends of all attempts are registered or the context ends.
func (r *AnswerRegistry) Flush(ctx context.Context) error { return r.outbox.flush(ctx) }

// Metrics returns the counters.
func (r *AnswerRegistry) Metrics() *expvar.Map { return r.counters.vars }

// AnswerDecision is the decision for one attempt of a model-backed call with a
// key.
type AnswerDecision struct {
	// Kind is Run, Running, Answered or Unknown.
	Kind Kind
	// Ticket is set for Run.
	Ticket *AnswerTicket
	// RetryAfter is set for Running.
	RetryAfter time.Duration
}

// Begin decides whether an attempt of a call may compute an answer. Errors have
// the trait NotRun and are of the types KeyMalformed, KeyExpired, KeyFuture and
// OwnerUnavailable.
func (r *AnswerRegistry) Begin(ctx context.Context, key Key) (AnswerDecision, error) {
	decision, err := r.begin(ctx, key)
	if err != nil {
		r.counters.refusedWith("answer_refused_", err)
		return AnswerDecision{}, err
	}
	r.counters.decided("answer_", decision.Kind)
	return decision, nil
}

func (r *AnswerRegistry) begin(ctx context.Context, key Key) (AnswerDecision, error) {
	parsed, err := ParseKey(key)
	if err != nil {
		return AnswerDecision{}, err
	}
	if parsed.Form == FormBound {
		return AnswerDecision{}, KeyMalformed.New("a key bound to a VM cannot name a model answer")
	}
	ticket, err := r.newTicket(parsed)
	if err != nil {
		return AnswerDecision{}, err
	}
	response, err := ticket.update(ctx, claimv1.AnswerPhase_ANSWER_PHASE_WORKING)
	if err != nil {
		ticket.Abandon()
		return AnswerDecision{}, OwnerUnavailable.Wrap(err, "the owner of the key in zone %s cannot be reached", ticket.zone)
	}
	return r.decide(ticket, response)
}

// decide converts the owner's response into a decision.
func (r *AnswerRegistry) decide(ticket *AnswerTicket, response *claimv1.UpdateResponse) (AnswerDecision, error) {
	switch response.GetResult() {
	case claimv1.UpdateResult_UPDATE_RESULT_DONE:
		return AnswerDecision{Kind: Run, Ticket: ticket}, nil
	case claimv1.UpdateResult_UPDATE_RESULT_TAKEN:
		return r.decideTaken(response.GetEntry()), nil
	case claimv1.UpdateResult_UPDATE_RESULT_UNKNOWN_PAST:
		return AnswerDecision{Kind: Unknown}, nil
	case claimv1.UpdateResult_UPDATE_RESULT_KEY_EXPIRED:
		return AnswerDecision{}, KeyExpired.New("the key is older than the window of %s", r.settings.KeyWindow)
	case claimv1.UpdateResult_UPDATE_RESULT_KEY_FUTURE:
		return AnswerDecision{}, KeyFuture.New("the key is more than %s in the future", r.settings.ClockSkew)
	default:
		ticket.Abandon()
		return AnswerDecision{}, OwnerUnavailable.New("the owner of the key in zone %s cannot serve it now", ticket.zone)
	}
}

// decideTaken decides a repeat of a key that another attempt holds.
func (r *AnswerRegistry) decideTaken(entry *claimv1.AnswerEntry) AnswerDecision {
	if entry.GetPhase() == claimv1.AnswerPhase_ANSWER_PHASE_ANSWERED {
		return AnswerDecision{Kind: Answered}
	}
	if aliveIn(r.deps.View, entry.GetAttempt()) {
		return AnswerDecision{Kind: Running, RetryAfter: r.settings.RetryAfter}
	}
	return AnswerDecision{Kind: Unknown}
}

// newTicket returns a ticket for a new attempt with the slot of its key. The
// error is KeyMalformed if the key's home zone is not configured.
func (r *AnswerRegistry) newTicket(key ParsedKey) (*AnswerTicket, error) {
	zone, err := homeZone(key, r.deps.Zones())
	if err != nil {
		return nil, err
	}
	self := r.deps.View.Self()
	return &AnswerTicket{
		registry: r,
		key:      key,
		zone:     zone,
		slot:     int(xxhash.Sum64String(key.text()) % Slots),
		attempt:  &claimv1.Writer{Vm: self.VM, Incarnation: self.Incarnation, Sequence: r.sequence.Add(1)},
	}, nil
}

// homeZone returns the availability zone whose VMs alone decide about a key:
// the one that the key names, or one chosen by rendezvous hashing. It does not
// depend on which VMs are alive, since two zones could then decide about one
// key. All versions must compute the same weights.
func homeZone(key ParsedKey, zones []string) (string, error) {
	var best string
	var bestWeight uint64
	for _, zone := range zones {
		if key.Form == FormHomed && zone == key.Zone {
			return zone, nil
		}
		weight := rendezvous.Weight(key.text(), zone)
		if best == "" || weight > bestWeight {
			best = zone
			bestWeight = weight
		}
	}
	if key.Form == FormHomed || best == "" {
		return "", KeyMalformed.New("the key's home zone %q is not configured", key.Zone)
	}
	return best, nil
}

// now returns the wall clock time at the start plus the monotonic time since.
func (r *AnswerRegistry) now() time.Time { return r.start.Add(time.Since(r.start)) }

// aliveIn reports whether, according to a view, the incarnation of a writer may
// still be running.
func aliveIn(view membership.View, writer *claimv1.Writer) bool {
	for _, member := range view.Members() {
		if member.VM != writer.GetVm() || member.State == membership.Gone {
			continue
		}
		return member.Incarnation == writer.GetIncarnation() || member.Incarnation == 0
	}
	return false
}
