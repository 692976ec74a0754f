package membudget

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func open(t *testing.T, b *Budget, guaranteed int64) *Holder {
	t.Helper()
	h, ok := b.Open(guaranteed)
	assert.Assert(t, ok)
	return h
}

// A reader that takes the whole budget must not keep the others from their guaranteed parts.
func TestGuaranteedPartIsThereWhenTheRestIsTaken(t *testing.T) {
	b := New(Limits{Guaranteed: 20, Shared: 100, Turn: 50}, new(Counters))
	greedy := open(t, b, 10)
	assert.Assert(t, greedy.TryReserve(110))
	assert.Assert(t, !greedy.TryReserve(1))
	other := open(t, b, 10)
	assert.Assert(t, other.TryReserve(10))
	assert.Assert(t, !other.TryReserve(1))
	_, ok := b.Open(1)
	assert.Assert(t, !ok)
	greedy.Close()
	assert.Assert(t, other.TryReserve(100))
	other.Close()
	assert.Equal(t, b.Counters.Reserved.Load(), int64(0))
}

// A small reservation that arrives later must not pass a large one that waits: it would starve.
func TestWaitingReservationsAreServedInOrderOfArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Shared: 100, Turn: 10}, new(Counters))
		first, large, small := open(t, b, 0), open(t, b, 0), open(t, b, 0)
		assert.Assert(t, first.TryReserve(95))
		borrower := open(t, b, 0)
		assert.NilError(t, borrower.Reserve(t.Context(), 8))
		var order []string
		reserve := func(name string, h *Holder, n int64) {
			assert.Check(t, h.Reserve(t.Context(), n) == nil)
			order = append(order, name)
		}
		go reserve("large", large, 10)
		synctest.Wait()
		go reserve("small", small, 3)
		synctest.Wait()
		assert.Equal(t, len(order), 0)
		assert.Assert(t, !open(t, b, 0).TryReserve(1), "others wait")
		first.Release(5)
		synctest.Wait()
		assert.DeepEqual(t, order[:1], []string{"large"})
		first.Release(5)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"large", "small"})
	})
}

// Holders that each hold a part and wait for more would wait for each other for ever.
func TestHoldersThatWaitForMoreAlwaysGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Guaranteed: 500, Shared: 300, Turn: 300}, new(Counters))
		var running sync.WaitGroup
		for i := range 50 {
			running.Go(func() {
				h, ok := b.Open(10)
				assert.Check(t, ok)
				defer h.Close()
				random := rand.New(rand.NewPCG(1, uint64(i)))
				for held := int64(0); held < 250; {
					n := 1 + random.Int64N(50)
					assert.Check(t, h.Reserve(t.Context(), n) == nil)
					held += n
					assert.Check(t, b.Counters.Reserved.Load() <= b.Counters.Capacity.Load())
				}
			})
		}
		running.Wait()
		assert.Equal(t, b.Counters.Reserved.Load(), int64(0))
		assert.DeepEqual(t, b.free, Limits{Guaranteed: 500, Shared: 300, Turn: 300})
	})
}

// What was granted while its holder gave up would be lost to all others.
func TestGivenUpReservationsLeaveNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Shared: 10, Turn: 5}, new(Counters))
		taken, waits, borrower := open(t, b, 0), open(t, b, 0), open(t, b, 0)
		assert.Assert(t, taken.TryReserve(10))
		assert.NilError(t, borrower.Reserve(t.Context(), 5))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- waits.Reserve(ctx, 5) }()
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.ErrorIs(t, borrower.Reserve(t.Context(), 1), ErrTooLarge)
		taken.Close()
		assert.ErrorIs(t, taken.Reserve(t.Context(), 1), ErrClosed)
		assert.Assert(t, waits.TryReserve(10))
		waits.Close()
		borrower.Close()
		assert.Equal(t, b.Counters.Reserved.Load(), int64(0))
	})
}

// An endpoint crashes if the requests that it holds exceed its memory.
func TestBytesInFlightToAnEndpointAreBounded(t *testing.T) {
	e := NewEndpoints(1<<20, new(Counters))
	end, ok := e.Begin("a", 2<<20, 2)
	assert.Assert(t, ok, "a body that fits nowhere is sent alone")
	_, ok = e.Begin("a", 1, 2)
	assert.Assert(t, !ok)
	_, ok = e.Begin("b", 500<<10, 2)
	assert.Assert(t, ok)
	_, ok = e.Begin("b", 100<<10, 2)
	assert.Assert(t, !ok, "half of the bound for each of two VMs")
	end()
	end()
	_, ok = e.Begin("a", 1, 2)
	assert.Assert(t, ok)
	assert.Equal(t, e.counters.EndpointsFull.Load(), int64(2))
}
