package claim

import (
	"context"
	"sync"
	"time"

	claimv1 "github.com/ospreyshed/ospreyshed/api/claim/v1"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

// ownerTimeoutDivisor is the part of a submission's time that the shard's owner gets
// before this VM appends itself.
const ownerTimeoutDivisor = 3

// failedOwnerBackoff is how long an owner that failed is passed over.
const failedOwnerBackoff = time.Second

// submit settles a record through the shard's owner, or from here if the owner
// cannot be reached or cannot append. Both ways are safe at once: the record
// keeps its id, and only the log's order decides.
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

// isFinal reports whether a settlement needs no second try.
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
// rendezvous hashing. It matters for cost only.
func ownerOf(shard int, members []membership.Member) membership.Member {
	return rendezvous.First(streamOf(shard), members, membership.Member.Available)
}

// failedOwners remembers owners that failed a short time ago.
type failedOwners struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (d *failedOwners) add(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[string]time.Time)
	}
	d.until[address] = time.Now().Add(failedOwnerBackoff)
}

func (d *failedOwners) active(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.until[address]
	if ok && time.Now().After(until) {
		delete(d.until, address)
		return false
	}
	return ok
}
