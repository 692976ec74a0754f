package order

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

// weightBudget limits the bytes that one pool loads from the weight store. It
// starts empty, because the previous lease holder may just have used up the
// pool's share.
type weightBudget struct {
	limiter *rate.Limiter
	bytes   int64
	share   float64
}

// poolShare returns a pool's share of the weight store's rate, in bytes per
// second. The rate is divided evenly among zones, and within a zone evenly
// among its pools. 0 means no limit.
func poolShare(fleet *configuration.Fleet, pools int) float64 {
	parts := max(1, len(fleet.Zones)*pools)
	return float64(fleet.WeightStoreBytesPerSecond) / float64(parts)
}

// set updates the size of the model's weights and the pool's share of the
// store's rate. A change empties the budget.
func (b *weightBudget) set(weightBytes int64, share float64, now time.Time) {
	if b.bytes == weightBytes && b.share == share {
		return
	}
	b.bytes, b.share = weightBytes, share
	b.limiter = nil
	if weightBytes > 0 && share > 0 {
		b.limiter = rate.NewLimiter(rate.Limit(share), int(weightBytes))
		b.limiter.AllowN(now, int(weightBytes))
	}
}

// reserve reports whether the weights may be loaded once more, and deducts
// their size from the budget if so.
func (b *weightBudget) reserve(now time.Time) bool {
	return b.limiter == nil || b.limiter.AllowN(now, int(b.bytes))
}
