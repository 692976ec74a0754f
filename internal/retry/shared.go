package retry

import (
	"sync"
	"sync/atomic"
)

const (
	// ratioShare and slackShare are the shares of the permitted ratio and slack
	// that are used. The remainder covers requests and retries that fall into
	// different windows, and restarted processes, which begin with a full reserve.
	ratioShare = 0.7
	slackShare = 0.5
	// minReserve is the minimum reserve in retries, and the reserve while the
	// number of processes is not known.
	minReserve = 1
)

// Shared is one process's part of a retry budget that several processes share.
// Each service has its own budget. It is safe for concurrent use.
type Shared struct {
	ratio float64
	slack float64

	reserve atomic.Int64
	budgets sync.Map // service -> *Budget
}

// NewShared returns budgets with which the retries of all processes together do
// not exceed the given ratio of the requests plus the slack.
func NewShared(ratio, slack float64) *Shared {
	s := &Shared{ratio: ratio * ratioShare, slack: slack * slackShare}
	s.reserve.Store(minReserve)
	return s
}

// Divide sets the number of processes that share the slack.
func (s *Shared) Divide(processes int) {
	reserve := max(minReserve, int64(s.slack/float64(max(1, processes))))
	s.reserve.Store(reserve)
	s.budgets.Range(func(_, budget any) bool {
		budget.(*Budget).setReserve(int(reserve))
		return true
	})
}

// Earn credits one request of a service.
func (s *Shared) Earn(service string) { s.of(service).Earn() }

// Spend takes one retry of a service and reports whether the budget allows it.
func (s *Shared) Spend(service string) bool { return s.of(service).Spend() }

// Refund returns a retry of a service that was taken and not used.
func (s *Shared) Refund(service string) { s.of(service).Refund() }

func (s *Shared) of(service string) *Budget {
	if found, ok := s.budgets.Load(service); ok {
		return found.(*Budget)
	}
	created, _ := s.budgets.LoadOrStore(service, NewBudget(s.ratio, int(s.reserve.Load())))
	return created.(*Budget)
}
