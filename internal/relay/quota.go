package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/team"
)

const (
	// quotaPatienceShare is the share of the route's objective for which a request waits for
	// credit of its team's quota.
	quotaPatienceShare = 0.25
	// reasonOverQuota is the reason of a refusal because of a quota.
	reasonOverQuota = "the team's quota is used up"
	// maxCountedTokens bounds the token counts that callers state, so that their sum does not
	// overflow and become free.
	maxCountedTokens = 1 << 40
)

// Quotas charges requests to the quotas of their teams. It is implemented by quota.Service.
type Quotas interface {
	// Take charges a request, and waits for credit for at most the patience. If there is none,
	// wait is the time until it is expected. The returned function gives the cost of a request
	// back that has not run. A request that yields leaves a part of the burst to its team's more
	// urgent requests.
	Take(ctx context.Context, t *team.Team, cost int64, yields bool, patience time.Duration) (release func(), wait time.Duration, ok bool)
	// Owner returns the VM that last decided for a team.
	Owner(team string) string
}

// charge charges a request to its team's quota, once for all its attempts. It gives the final
// answer and returns false if the request is over the quota. The returned function is to be
// called when the request has its final answer.
func (r *Relay) charge(ctx context.Context, x *exchange) (settle func(), ok bool) {
	t := x.request.Team
	if t == nil || !t.Quota.Limited() {
		return func() {}, true
	}
	cost := quotaCost(x.request)
	patience := min(time.Duration(quotaPatienceShare*float64(x.route.Objective)), x.timeLeft())
	release, wait, ok := r.options.Quotas.Take(ctx, t, cost, x.route.Priority > 0, patience)
	if ok {
		return func() {
			if !x.mayHaveRun {
				release()
			}
		}, true
	}
	if ctx.Err() != nil {
		r.callerGone(x)
		return nil, false
	}
	r.Counters.OverQuota.Add(1)
	r.decide(x, "quota exceeded", logrus.Fields{
		"team": t.Name, "cost": cost, "owner": r.options.Quotas.Owner(t.Name), "wait_ms": wait.Milliseconds(),
	})
	r.refuse(x, Refusal{Reason: reasonOverQuota, RetryAfter: wait, OverQuota: true})
	return nil, false
}

// quotaCost returns what a request costs in the unit of its team's quota.
func quotaCost(request *Request) int64 {
	if work := request.Generation; work != nil {
		return request.Team.Quota.Cost(min(work.PromptTokens, maxCountedTokens), min(work.MaxOutputTokens, maxCountedTokens))
	}
	return request.Team.Quota.Cost(0, 0)
}
