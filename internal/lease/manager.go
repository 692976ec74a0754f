package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

const (
	// stepInterval is the time between two looks at the leases.
	stepInterval = 250 * time.Millisecond
	// retryPause is the pause after an append that failed.
	retryPause = time.Second
	// releaseTimeout bounds the release of all leases at a shutdown.
	releaseTimeout = 2 * time.Second
)

// Appender appends entries; logservice.Appender implements it.
type Appender interface {
	Append(ctx context.Context, stream string, purpose logservice.Purpose, entry logservice.Entry) (uint64, error)
}

// Counters count what a Manager did. The zero value is ready to use.
type Counters struct {
	// Acquired and Lost count the leases of this VM.
	Acquired, Lost atomic.Int64
	// Appends, Failed and InDoubt count appends and those that failed.
	Appends, Failed, InDoubt atomic.Int64
	// Refused counts this VM's records that came too late.
	Refused atomic.Int64
	// Unreadable counts records that this version cannot read.
	Unreadable atomic.Int64
	// Gaps counts times that records were removed before they were read.
	Gaps atomic.Int64
}

// Dependencies are the collaborators of a Manager.
type Dependencies struct {
	Log      logservice.Service
	Appender Appender
	View     membership.View
	Events   timeline.Recorder
}

// Manager holds this VM's leases. It is safe for concurrent use.
//
// A record counts only once it was read back from the log, so that a lost answer
// needs no care of its own: until then the lease is not held here, and others
// hold it for taken if the record took effect.
type Manager struct {
	// Counters are read by the metrics.
	Counters Counters

	deps   Dependencies
	terms  Terms
	holder Holder
	flows  sync.WaitGroup

	mu       sync.Mutex
	fold     *Fold
	caughtUp bool
	clock    logClock
	leases   map[string]*candidacy
	sequence uint64
	// begun holds when the appends whose record was not read back began, by id.
	begun map[string]time.Time

	exclusions atomic.Pointer[exclusions]
}

// logClock estimates the log service's clock between reads.
type logClock struct{ log, here time.Time }

func (c logClock) now() time.Time { return c.log.Add(time.Since(c.here)) }

// NewManager returns a Manager that starts with Run.
func NewManager(deps Dependencies, terms Terms) *Manager {
	self := deps.View.Self()
	m := &Manager{
		deps:   deps,
		terms:  terms,
		holder: Holder{VM: self.VM, Incarnation: self.Incarnation},
		fold:   NewFold(terms),
		leases: make(map[string]*candidacy),
		begun:  make(map[string]time.Time),
	}
	m.exclusions.Store(&exclusions{})
	return m
}

// Run acquires and renews leases until the context ends, then releases them.
func (m *Manager) Run(ctx context.Context) error {
	var tail sync.WaitGroup
	defer tail.Wait()
	tailer := logservice.NewTailer(m.deps.Log, logservice.TailerOptions{Stream: Stream})
	tail.Go(func() { _ = tailer.Run(ctx, m.applyBatch) })
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.flows.Wait()
			m.releaseAll(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
			m.step(ctx)
		}
	}
}

// Want sets the leases that this VM holds if it can. Others are released.
func (m *Manager) Want(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, c := range m.leases {
		c.wanted = slices.Contains(names, name)
	}
	for _, name := range names {
		if m.leases[name] == nil {
			m.leases[name] = &candidacy{name: name, wanted: true}
		}
	}
}

// Held returns the grant of a lease if this VM may send by it now.
func (m *Manager) Held(name string) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.leases[name]
	if c == nil || !c.wanted || c.grant == nil || !c.grant.Valid() {
		return Grant{}, false
	}
	return *c.grant, true
}

// Raise asks for a higher fencing number of a held lease, because an engine has
// seen a higher one from the holder of another lease.
func (m *Manager) Raise(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.leases[name]; c != nil {
		c.raise = true
	}
}

// Exclude sets the endpoints that get no new work while this VM holds a lease.
// It takes effect when all VMs have read it from the log; see Excluded.
func (m *Manager) Exclude(name string, endpoints []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.leases[name]; c != nil {
		c.excluded = slices.Sorted(slices.Values(endpoints))
	}
}

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

// step appends what is due.
func (m *Manager) step(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget()
	for _, c := range m.leases {
		if c.grant != nil && !c.grant.Valid() {
			m.lose(c)
		}
	}
	if !m.caughtUp {
		return
	}
	for _, c := range m.leases {
		m.stepLease(ctx, c)
	}
}

func (m *Manager) stepLease(ctx context.Context, c *candidacy) {
	s := m.situation(c.name)
	delay := time.Duration(rank(c.name, m.deps.View.Self(), m.deps.View.Members())) * m.terms.Stagger
	kind := c.next(&s, &m.terms, delay, time.Now())
	if kind != "" {
		m.send(ctx, c, m.record(c, kind, &s))
	}
}

func (m *Manager) situation(name string) situation {
	s := situation{now: m.clock.now()}
	s.settled = m.fold.Settled(s.now)
	s.state, s.known = m.fold.Get(name)
	s.mine = s.known && s.state.Holder == m.holder && s.now.Before(s.state.Expires)
	return s
}

func (m *Manager) record(c *candidacy, kind Kind, s *situation) Record {
	record := Record{Format: Format, Kind: kind, Lease: c.name, Holder: m.holder}
	switch kind {
	case KindAcquire:
		record.ValidUntilMillis = s.now.Add(m.terms.Validity).UnixMilli()
		record.Excluded = c.excluded
	case KindRenew:
		record.Fencing = s.state.Fencing
		record.Excluded = c.excluded
	case KindRelease:
		record.Fencing = s.state.Fencing
	}
	return record
}

// send appends a record. The time is taken before, so that the lease ends here
// before it ends on the log.
func (m *Manager) send(ctx context.Context, c *candidacy, record Record) {
	data, err := record.Encode()
	if err != nil {
		m.Counters.Failed.Add(1)
		return
	}
	m.sequence++
	id := fmt.Sprintf("%s.%d.lease.%d", m.holder.VM, m.holder.Incarnation, m.sequence)
	c.sending = true
	c.begun = time.Now()
	c.retryAt = time.Time{}
	c.sent = record.Excluded
	m.begun[id] = c.begun
	m.Counters.Appends.Add(1)
	m.flows.Go(func() { m.append(ctx, c, logservice.Entry{ID: id, Data: data}) })
}

func (m *Manager) append(ctx context.Context, c *candidacy, entry logservice.Entry) {
	ctx, cancel := context.WithTimeout(ctx, m.terms.Renewal)
	defer cancel()
	_, err := m.deps.Appender.Append(ctx, Stream, logservice.PurposeLease, entry)
	m.mu.Lock()
	defer m.mu.Unlock()
	c.sending = false
	switch {
	case errorx.HasTrait(err, logservice.NotAppended):
		m.Counters.Failed.Add(1)
		c.retryAt = time.Now().Add(retryPause)
		delete(m.begun, entry.ID)
	case err != nil:
		m.Counters.InDoubt.Add(1)
	}
}

// forget drops appends that can grant nothing any more.
func (m *Manager) forget() {
	for id, begun := range m.begun {
		if time.Since(begun) > m.terms.Duration {
			delete(m.begun, id)
		}
	}
}

// releaseAll gives up all leases at a shutdown.
func (m *Manager) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	m.mu.Lock()
	for _, c := range m.leases {
		c.wanted = false
		s := m.situation(c.name)
		if s.mine {
			m.lose(c)
			m.send(ctx, c, m.record(c, KindRelease, &s))
		}
	}
	m.mu.Unlock()
	m.flows.Wait()
}
