package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetriesAreAShareOfRequests(t *testing.T) {
	budget := NewBudget(0.1, 2)
	spent := 0
	for range 100 {
		budget.Earn()
		if budget.Spend() {
			spent++
		}
	}
	const burst, share = 2, 10
	assert.Assert(t, spent >= share && spent <= burst+share, "spent %d", spent)
}

// A retry that is returned can be used again, but the reserve does not grow.
func TestRefundedRetryIsAvailableAgain(t *testing.T) {
	budget := NewBudget(0.1, 1)
	assert.Assert(t, budget.Spend())
	budget.Refund()
	budget.Refund()
	assert.Assert(t, budget.Spend())
	assert.Assert(t, !budget.Spend())
}

func TestExhaustedBudgetRefuses(t *testing.T) {
	budget := NewBudget(0.1, 1)
	assert.Assert(t, budget.Spend())
	assert.Assert(t, !budget.Spend())
}
