package roles

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
)

const (
	// stepInterval is the time between two looks at the engines.
	stepInterval = 500 * time.Millisecond
	// orderWindow is how long after its entry an order may still be given.
	orderWindow = 1500 * time.Millisecond
	// deliveryMargin covers the way of an order to its engine.
	deliveryMargin = 700 * time.Millisecond
	// rankDelay is how much longer each further process waits before it takes up
	// an order that is due, so that they do not all try at once.
	rankDelay = time.Second
	// maxRank bounds the wait.
	maxRank = 30
	// readInterval is the time between two reads of the journal by a process whose
	// turn it is not. Each read has a price.
	readInterval = 3 * time.Second
)

// Entry is one order in the journal.
type Entry struct {
	// Holder is the process that gives the order.
	Holder string
	// Engine, Model and Zone name the engine.
	Engine, Model, Zone string
	Role                configuration.Role
}

// Reading is what a journal holds beyond what was read before.
type Reading struct {
	Entries []Entry
	// Moved says that the journal has grown, even by entries that are unreadable.
	Moved bool
}

// Journal keeps orders on the platform.
type Journal interface {
	// Read returns what is new.
	Read(ctx context.Context) (Reading, error)
	// Append adds an entry unless there is one that was not read. It returns the
	// fence of the order, which rises with each entry; 0 if it was not added.
	Append(ctx context.Context, entry Entry) (uint64, error)
}

// Orders gives orders to engines.
type Orders interface {
	// SetRole has an engine change its role. It is done only if the engine has
	// accepted no other order meanwhile.
	SetRole(ctx context.Context, engine *configuration.Endpoint, role configuration.Role, fence uint64) error
}

// Options are the collaborators of a Balancer.
type Options struct {
	// VM names this process.
	VM      string
	Journal Journal
	Orders  Orders
	// HandoverDelay is the time within which two processes may not both give orders.
	HandoverDelay time.Duration
	// Engines returns the engines that do not leave.
	Engines func() []*configuration.Endpoint
	// Rank is this process's place among those that could give orders.
	Rank func() int
	// Clock also counts the time in which the machine stood still.
	Clock func() time.Time
	Log   *decisionlog.Log
}

// Counters count orders. The zero value is ready to use.
type Counters struct {
	// Given counts orders that engines accepted or did not need any more, Failed those
	// that they did not accept or answer.
	Given, Failed atomic.Int64
	// NotEntered counts orders that another process was faster with, or that the
	// journal did not take.
	NotEntered atomic.Int64
}

// Balancer gives the orders that keep the engines in balance.
type Balancer struct {
	// Counters are read by the metrics.
	Counters Counters

	options Options
	planner *planner
	// dueSince is since when an order has been dueSince.
	dueSince time.Time
	// nextRead is when the journal may be read again.
	nextRead time.Time
	// lastEntryOwn says that the last entry of the journal is of this process.
	lastEntryOwn bool
	// lastOtherEntry is when the journal was last seen to grow by another process.
	lastOtherEntry time.Time
}

// New returns a balancer that starts with Run.
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

// step gives the orders that are due, if it is this process's turn.
func (b *Balancer) step(ctx context.Context) {
	now := b.options.Clock()
	if len(b.planner.plan(now, b.options.Engines())) == 0 {
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
	for _, change := range b.planner.plan(b.options.Clock(), b.options.Engines()) {
		if !b.order(ctx, change) {
			return
		}
	}
}

// readJournal reads the journal. It is false if that is not possible.
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

// mayOrder reports whether no order of another process can still be under way.
func (b *Balancer) mayOrder() bool {
	if b.lastEntryOwn || b.lastOtherEntry.IsZero() {
		return true
	}
	return b.options.Clock().Sub(b.lastOtherEntry) > b.options.HandoverDelay+orderWindow+deliveryMargin
}

// order enters an order and gives it. It is false if another process is faster.
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
