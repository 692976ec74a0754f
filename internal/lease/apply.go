package lease

import (
	"fmt"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// applyBatch takes in records of the log.
func (m *Manager) applyBatch(batch logservice.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = logClock{log: batch.Time, here: time.Now()}
	if batch.Gap != nil {
		m.Counters.Gaps.Add(1)
		m.fold.Skip(firstTime(&batch))
	}
	for _, logged := range batch.Records {
		m.apply(logged)
	}
	m.caughtUp = batch.CaughtUp
	m.exclusions.Store(m.newExclusions())
}

// firstTime returns the log time from which on a batch lacks no record.
func firstTime(batch *logservice.Batch) time.Time {
	if len(batch.Records) > 0 {
		return batch.Records[0].Time
	}
	return batch.Time
}

func (m *Manager) apply(logged logservice.Record) {
	record, verdict := m.fold.Apply(logged)
	if verdict == Unreadable {
		m.Counters.Unreadable.Add(1)
		return
	}
	c := m.leases[record.Lease]
	if c == nil {
		return
	}
	if record.Holder != m.holder {
		if verdict == Acquired {
			m.lose(c)
		}
		return
	}
	begun, own := m.begun[logged.ID]
	delete(m.begun, logged.ID)
	m.settle(c, record.Lease, verdict, begun, own)
}

// settle takes the verdict on a record of this VM. A record whose begin is not
// known any more grants nothing here.
func (m *Manager) settle(c *candidacy, name string, verdict Verdict, begun time.Time, own bool) {
	switch verdict {
	case Refused:
		m.Counters.Refused.Add(1)
	case Released:
		m.lose(c)
	case Acquired, Renewed:
		state, _ := m.fold.Get(name)
		if own {
			m.grant(c, grantFrom(state.Fencing, begun, &m.terms))
		}
	}
}

func (m *Manager) grant(c *candidacy, grant Grant) {
	if !grant.Valid() {
		return
	}
	if c.grant == nil {
		m.Counters.Acquired.Add(1)
		m.deps.Events.Record(timeline.LeaseAcquired, "", fmt.Sprintf("%s fencing %d", c.name, grant.Fencing))
	}
	c.raise = c.raise && c.grant != nil && c.grant.Fencing == grant.Fencing
	c.grant = &grant
}

// lose ends a grant. What was excluded under it is not excluded under the next.
func (m *Manager) lose(c *candidacy) {
	if c.grant == nil {
		return
	}
	c.excluded = nil
	m.Counters.Lost.Add(1)
	m.deps.Events.Record(timeline.LeaseLost, "", fmt.Sprintf("%s fencing %d", c.name, c.grant.Fencing))
	c.grant = nil
}
