package roles

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
)

const (
	// stepInterval is the interval between two checks of the engines.
	stepInterval = 500 * time.Millisecond
	// orderWindow is how long after the start of its journal append an order may
	// still be sent.
	orderWindow = 1500 * time.Millisecond
	// deliveryMargin allows for the time that an order takes to reach its engine.
	deliveryMargin = 700 * time.Millisecond
	// rankDelay is the delay per rank before a process acts on an order that is
	// due, so that processes do not all try at once.
	rankDelay = time.Second
	// maxRank bounds the rank that counts for that delay.
	maxRank = 30
	// readInterval is the time between two reads of the journal by a process that
	// may not give orders yet. Each read has a cost.
	readInterval = 3 * time.Second
)

// Entry is one order in the journal.
type Entry struct {
	// Holder is the process that gives the order.
	Holder string
	// Engine, Model and Zone identify the engine.
	Engine, Model, Zone string
	Role                configuration.Role
}

// Reading is what was added to a journal since the previous read.
type Reading struct {
	Entries []Entry
	// Moved says that the journal has grown, even if only by unreadable entries.
	Moved bool
}

// Journal stores orders on the platform.
type Journal interface {
	// Read returns what was added since the previous read.
	Read(ctx context.Context) (Reading, error)
	// Append adds an entry unless the journal has one that was not read yet. It
	// returns the order's fencing number, which rises with each entry; 0 if the
	// entry was not added.
	Append(ctx context.Context, entry Entry) (uint64, error)
}

// Orders sends orders to engines.
type Orders interface {
	// SetRole orders an engine to change its role. It has no effect if the engine
	// has accepted another order in the meantime.
	SetRole(ctx context.Context, engine *configuration.Endpoint, role configuration.Role, fence uint64) error
}

// Options are the dependencies and parameters of a Balancer.
type Options struct {
	// VM names this process.
	VM      string
	Journal Journal
	Orders  Orders
	// HandoverDelay is the period within which two processes may not both give
	// orders.
	HandoverDelay time.Duration
	// Engines returns the engines that are not leaving.
	Engines func() []*configuration.Endpoint
	// Quiet reports whether an engine wants no calls of this process at present. Orders to it
	// wait, or come from another process.
	Quiet func(engine string) bool
	// Rank is this process's position among the processes that could give orders.
	Rank func() int
	// Clock also counts time during which the machine was suspended.
	Clock func() time.Time
	Log   *decisionlog.Log
}

// Counters count orders. The zero value is ready to use.
type Counters struct {
	// Given counts orders that engines accepted or no longer needed, Failed those
	// that engines rejected or did not respond to.
	Given, Failed atomic.Int64
	// NotEntered counts orders that were not entered in the journal because another
	// process appended first or the append failed.
	NotEntered atomic.Int64
}

// Balancer gives the orders that keep the numbers of prefill and decode engines in
// proportion.
type Balancer struct {
	// Counters are exported as metrics.
	Counters Counters

	options Options
	planner *planner
	// dueSince is the time since which an order has been due, zero if none is.
	dueSince time.Time
	// nextRead is the earliest time of the next read of the journal.
	nextRead time.Time
	// lastEntryOwn says that the last entry of the journal is from this process.
	lastEntryOwn bool
	// lastOtherEntry is when new entries of another process were last seen.
	lastOtherEntry time.Time
}

// New returns a balancer; Run starts it.
func New(options Options) *Balancer {
	return &Balancer{options: options, planner: newPlanner()}
}

// Run gives orders until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		b.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step gives the orders that are due, if this process may give orders.
func (b *Balancer) step(ctx context.Context) {
	now := b.options.Clock()
	if len(b.due(now)) == 0 {
		b.dueSince = time.Time{}
		return
	}
	if b.dueSince.IsZero() {
		b.dueSince = now
	}
	if now.Sub(b.dueSince) < time.Duration(min(b.options.Rank(), maxRank))*rankDelay {
		return
	}
	if now.Before(b.nextRead) || !b.readJournal(ctx) {
		return
	}
	if !b.mayOrder() {
		b.nextRead = now.Add(readInterval)
		return
	}
	for _, change := range b.due(b.options.Clock()) {
		if !b.order(ctx, change) {
			return
		}
	}
}

// due returns the changes that this process may order now.
func (b *Balancer) due(now time.Time) []Change {
	return slices.DeleteFunc(b.planner.plan(now, b.options.Engines()), func(c Change) bool { return b.options.Quiet(c.Engine.Name) })
}

// readJournal reads the journal and reports whether that succeeded.
func (b *Balancer) readJournal(ctx context.Context) bool {
	reading, err := b.options.Journal.Read(ctx)
	if err != nil {
		b.options.Log.Change("journal of orders not read", logrus.Fields{"error": err.Error()})
		return false
	}
	now := b.options.Clock()
	if reading.Moved {
		b.lastEntryOwn = false
		b.lastOtherEntry = now
	}
	for i := range reading.Entries {
		b.planner.recordOrder(now, &reading.Entries[i])
	}
	return true
}

// mayOrder reports whether no order of another process can still be in flight.
func (b *Balancer) mayOrder() bool {
	if b.lastEntryOwn || b.lastOtherEntry.IsZero() {
		return true
	}
	return b.options.Clock().Sub(b.lastOtherEntry) > b.options.HandoverDelay+orderWindow+deliveryMargin
}

// order enters an order in the journal and sends it. It returns false if the entry
// was not added or was added too late; the current step then sends no more orders.
func (b *Balancer) order(ctx context.Context, change Change) bool {
	appendStart := b.options.Clock()
	entry := Entry{
		Holder: b.options.VM,
		Engine: change.Engine.Name,
		Model:  change.Engine.Model,
		Zone:   change.Engine.Zone,
		Role:   change.To,
	}
	fence, err := b.options.Journal.Append(ctx, entry)
	if err != nil || fence == 0 {
		b.Counters.NotEntered.Add(1)
		b.logOrder(entry, fence, "order not entered", err)
		return false
	}
	b.lastEntryOwn = true
	b.planner.recordOrder(b.options.Clock(), &entry)
	if b.options.Clock().Sub(appendStart) > orderWindow {
		b.logOrder(entry, fence, "order entered too late to be given", nil)
		return false
	}
	err = b.options.Orders.SetRole(ctx, change.Engine, change.To, fence)
	if err != nil {
		b.Counters.Failed.Add(1)
	} else {
		b.Counters.Given.Add(1)
	}
	b.logOrder(entry, fence, "role ordered", err)
	return true
}

func (b *Balancer) logOrder(entry Entry, fence uint64, outcome string, err error) {
	fields := logrus.Fields{"endpoint": entry.Engine, "role": entry.Role, "fence": fence}
	if err != nil {
		fields["error"] = err.Error()
	}
	b.options.Log.Change(outcome, fields)
}
