// Package retry limits retries so that a failing endpoint does not receive a
// multiple of the offered load.
package retry

import "sync/atomic"

const (
	// milli is the scale of the budget's balance, which counts thousandths of a retry.
	milli = 1000
)

// Budget limits retries to a share of requests. Each request earns a fraction
// of a retry; each retry costs one. It is safe for concurrent use.
type Budget struct {
	earn    int64
	ceiling atomic.Int64
	balance atomic.Int64
}

// NewBudget returns a budget of ratio retries per request with a reserve of
// burst retries, which is full initially.
func NewBudget(ratio float64, burst int) *Budget {
	b := &Budget{earn: int64(ratio * milli)}
	b.ceiling.Store(int64(burst) * milli)
	b.balance.Store(int64(burst) * milli)
	return b
}

// setReserve changes the reserve. A balance above the new reserve is reduced to it.
func (b *Budget) setReserve(burst int) {
	ceiling := int64(burst) * milli
	b.ceiling.Store(ceiling)
	for old := b.balance.Load(); old > ceiling; old = b.balance.Load() {
		if b.balance.CompareAndSwap(old, ceiling) {
			return
		}
	}
}

// Earn credits one request.
func (b *Budget) Earn() { b.add(b.earn) }

// Spend takes one retry and reports whether the budget allowed it.
func (b *Budget) Spend() bool {
	for {
		old := b.balance.Load()
		if old < milli {
			return false
		}
		if b.balance.CompareAndSwap(old, old-milli) {
			return true
		}
	}
}

// Refund returns a retry that was taken and not used.
func (b *Budget) Refund() { b.add(milli) }

// add raises the balance, up to the reserve.
func (b *Budget) add(amount int64) {
	for {
		old := b.balance.Load()
		updated := max(old, min(old+amount, b.ceiling.Load()))
		if updated == old || b.balance.CompareAndSwap(old, updated) {
			return
		}
	}
}
