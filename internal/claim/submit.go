package claim

import (
	"context"
	"sync"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// ownerTimeoutDivisor divides the remaining time of a submission: the shard's
// owner gets that fraction before this VM appends the record itself.
const ownerTimeoutDivisor = 3

// failedOwnerCooldown is how long an owner is bypassed after a failed call.
const failedOwnerCooldown = time.Second

// submit submits a record through the shard's owner, or through this VM if the
// owner cannot be reached or cannot append. It is safe if both append it, since
// the record keeps its id and only the log's order decides.
func (c *Claims) submit(ctx context.Context, record *claimv1.Record, issued time.Time) settlement {
	owner := ownerOf(shardOf(recordKey(record)), c.deps.View.Members())
	if owner.VM == "" || owner.VM == c.deps.View.Self().VM || c.failedOwners.active(owner.Address) {
		return c.submitLocally(ctx, record, issued)
	}
	result := c.submitToOwner(ctx, owner, record)
	if isFinal(result.status) {
		return result
	}
	c.failedOwners.add(owner.Address)
	here := c.submitLocally(ctx, record, issued)
	if result.status == claimv1.Settlement_SETTLEMENT_IN_DOUBT && here.status != claimv1.Settlement_SETTLEMENT_SETTLED {
		here.status = claimv1.Settlement_SETTLEMENT_IN_DOUBT
	}
	return here
}

// isFinal reports whether a settlement needs no second attempt.
func isFinal(status claimv1.Settlement) bool {
	switch status {
	case claimv1.Settlement_SETTLEMENT_SETTLED,
		claimv1.Settlement_SETTLEMENT_KEY_EXPIRED,
		claimv1.Settlement_SETTLEMENT_KEY_FUTURE:
		return true
	}
	return false
}

// submitToOwner sends a record to the shard's owner. A call that fails may have
// taken effect.
func (c *Claims) submitToOwner(ctx context.Context, owner membership.Member, record *claimv1.Record) settlement {
	timeout := c.settings.ClaimTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout/ownerTimeoutDivisor)
	defer cancel()
	c.counters.ownerCalls.Add(1)
	response, err := c.deps.Peers.Submit(ctx, owner.Address, &claimv1.SubmitRequest{Record: record})
	if err != nil {
		c.counters.ownerFailures.Add(1)
		return settlement{status: claimv1.Settlement_SETTLEMENT_IN_DOUBT}
	}
	return settlement{status: response.GetSettlement(), state: response.GetState()}
}

// ownerOf returns the member that normally reads and batches a shard, by
// rendezvous hashing. The choice affects cost but not correctness.
func ownerOf(shard int, members []membership.Member) membership.Member {
	return rendezvous.First(streamOf(shard), members, membership.Member.Available)
}

// failedOwners holds the owners whose last call failed, until
// failedOwnerCooldown has passed.
type failedOwners struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (f *failedOwners) add(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = make(map[string]time.Time)
	}
	f.until[address] = time.Now().Add(failedOwnerCooldown)
}

func (f *failedOwners) active(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, ok := f.until[address]
	if ok && time.Now().After(until) {
		delete(f.until, address)
		return false
	}
	return ok
}
