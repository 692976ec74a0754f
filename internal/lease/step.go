package lease

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

const (
	// retryDelay is the delay after an append that failed.
	retryDelay = time.Second
	// releaseTimeout bounds the release of all leases at shutdown.
	releaseTimeout = 2 * time.Second
)

// step drops expired grants and appends the records that are due.
func (m *Manager) step(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropOldAppends()
	for _, l := range m.leases {
		if l.grant != nil && !l.grant.Valid() {
			m.dropGrant(l)
		}
	}
	if !m.caughtUp {
		return
	}
	for _, l := range m.leases {
		m.stepLease(ctx, l)
	}
}

func (m *Manager) stepLease(ctx context.Context, l *localLease) {
	s := m.leaseView(l.name)
	delay := time.Duration(rank(l.name, m.deps.View.Self(), m.deps.View.Members())) * m.terms.Stagger
	kind := l.nextKind(&s, &m.terms, delay, time.Now())
	if kind != "" {
		m.send(ctx, l, m.record(l, kind, &s))
	}
}

func (m *Manager) leaseView(name string) leaseView {
	s := leaseView{now: m.clock.now()}
	s.settled = m.fold.Settled(s.now)
	s.state, s.known = m.fold.Get(name)
	s.heldHere = s.known && s.state.Holder == m.holder && s.now.Before(s.state.Expires)
	return s
}

func (m *Manager) record(l *localLease, kind Kind, s *leaseView) Record {
	record := Record{Format: Format, Kind: kind, Lease: l.name, Holder: m.holder}
	switch kind {
	case KindAcquire:
		record.ValidUntilMillis = s.now.Add(m.terms.Validity).UnixMilli()
		record.Excluded = l.excluded
	case KindRenew:
		record.Fencing = s.state.Fencing
		record.Excluded = l.excluded
	case KindRelease:
		record.Fencing = s.state.Fencing
	}
	return record
}

// send appends a record. The start time is taken before the append, so that the
// grant ends here before the lease ends on the log.
func (m *Manager) send(ctx context.Context, l *localLease, record Record) {
	data, err := record.Encode()
	if err != nil {
		m.Counters.Failed.Add(1)
		return
	}
	m.sequence++
	id := fmt.Sprintf("%s.%d.lease.%d", m.holder.VM, m.holder.Incarnation, m.sequence)
	l.appending = true
	l.appendStart = time.Now()
	l.retryAt = time.Time{}
	l.excludedSent = record.Excluded
	m.appendStarts[id] = l.appendStart
	m.Counters.Appends.Add(1)
	m.appends.Go(func() { m.append(ctx, l, logservice.Entry{ID: id, Data: data}) })
}

func (m *Manager) append(ctx context.Context, l *localLease, entry logservice.Entry) {
	ctx, cancel := context.WithTimeout(ctx, m.terms.Renewal)
	defer cancel()
	_, err := m.deps.Appender.Append(ctx, Stream, logservice.PurposeLease, entry)
	m.mu.Lock()
	defer m.mu.Unlock()
	l.appending = false
	switch {
	case errorx.HasTrait(err, logservice.NotAppended):
		m.Counters.Failed.Add(1)
		l.retryAt = time.Now().Add(retryDelay)
		delete(m.appendStarts, entry.ID)
	case err != nil:
		m.Counters.InDoubt.Add(1)
	}
}

// dropOldAppends drops appends that started too long ago to grant anything.
func (m *Manager) dropOldAppends() {
	for id, start := range m.appendStarts {
		if time.Since(start) > m.terms.Duration {
			delete(m.appendStarts, id)
		}
	}
}

// releaseAll releases all leases at shutdown.
func (m *Manager) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.mu.Lock()
	for _, l := range m.leases {
		l.wanted = false
		s := m.leaseView(l.name)
		if s.heldHere {
			m.dropGrant(l)
			m.send(ctx, l, m.record(l, KindRelease, &s))
		}
	}
	m.mu.Unlock()
	m.appends.Wait()
}
