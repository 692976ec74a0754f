package lease

import (
	"fmt"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// applyBatch applies a batch of log records.
func (m *Manager) applyBatch(batch logservice.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = logClock{logTime: batch.Time, localTime: time.Now()}
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

// firstTime returns the log time from which on a batch has no missing records.
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
	l := m.leases[record.Lease]
	if l == nil {
		return
	}
	if record.Holder != m.holder {
		if verdict == Acquired {
			m.dropGrant(l)
		}
		return
	}
	appendStart, own := m.appendStarts[logged.ID]
	delete(m.appendStarts, logged.ID)
	m.applyOwn(l, record.Lease, verdict, appendStart, own)
}

// applyOwn handles the verdict on a record of this VM. A record whose append start
// is no longer known grants nothing here.
func (m *Manager) applyOwn(l *localLease, name string, verdict Verdict, appendStart time.Time, own bool) {
	switch verdict {
	case Refused:
		m.Counters.Refused.Add(1)
	case Released:
		m.dropGrant(l)
	case Acquired, Renewed:
		state, _ := m.fold.Get(name)
		if own {
			m.grant(l, newGrant(state.Fencing, appendStart, &m.terms))
		}
	}
}

func (m *Manager) grant(l *localLease, grant Grant) {
	if !grant.Valid() {
		return
	}
	if l.grant == nil {
		m.Counters.Acquired.Add(1)
		m.deps.Events.Record(timeline.LeaseAcquired, "", fmt.Sprintf("%s fencing %d", l.name, grant.Fencing))
	}
	l.raiseFencing = l.raiseFencing && l.grant != nil && l.grant.Fencing == grant.Fencing
	l.grant = &grant
}

// dropGrant ends a grant. Its exclusions do not carry over to the next grant.
func (m *Manager) dropGrant(l *localLease) {
	if l.grant == nil {
		return
	}
	l.excluded = nil
	m.Counters.Lost.Add(1)
	m.deps.Events.Record(timeline.LeaseLost, "", fmt.Sprintf("%s fencing %d", l.name, l.grant.Fencing))
	l.grant = nil
}
