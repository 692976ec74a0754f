package configuration

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"slices"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// reappendDivisor is the divisor of the log's retention that gives the age at
	// which the responsible VM re-appends a version.
	reappendDivisor = 3
	// takeoverDivisor is the divisor of the retention that gives the additional age
	// for each further rank: if a VM does not re-append, the next one does.
	takeoverDivisor = 12
	// maxTakeovers caps the rank that adds to the age, so that every VM re-appends
	// well before expiry.
	maxTakeovers = 6
	// reappendPeriod is the interval between checks.
	reappendPeriod = time.Second
	// maxReappendsPerCheck bounds the number of versions re-appended per check.
	maxReappendsPerCheck = 50
	// reappendTimeout bounds the appends of one check.
	reappendTimeout = 10 * time.Second
)

// Appender appends several entries together; logservice.Appender implements it.
type Appender interface {
	AppendAll(ctx context.Context, stream string, purpose logservice.Purpose, entries []logservice.Entry) []logservice.Appended
}

// Reappender repeats the current versions in the log before they expire.
//
// Each subject has one responsible VM, chosen by rendezvous hashing over the
// members, which re-appends it at a third of the retention. If it does not, the
// VM of the next rank does so a twelfth of the retention later, and so on. The
// choice only saves appends: a duplicate or late re-append has no effect on the
// state.
type Reappender struct {
	store    *Store
	members  membership.View
	appender Appender
	sequence uint64
	// missingSince holds, by subject, when the current version was first found to
	// be missing from the log.
	missingSince map[string]time.Time
	reappended   expvar.Int
	failed       expvar.Int
}

// NewReappender returns a Reappender that starts with Run.
func NewReappender(store *Store, members membership.View, appender Appender) *Reappender {
	return &Reappender{store: store, members: members, appender: appender, missingSince: make(map[string]time.Time)}
}

// Vars returns the counters of the Reappender.
func (r *Reappender) Vars() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("reappended", &r.reappended)
	vars.Set("failed", &r.failed)
	return vars
}

// Run re-appends until the context ends and returns the context's error.
func (r *Reappender) Run(ctx context.Context) error {
	ticker := time.NewTicker(reappendPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.check(ctx)
		}
	}
}

// check re-appends the versions that are due, the oldest first.
func (r *Reappender) check(ctx context.Context) {
	due := r.due()
	if len(due) == 0 {
		return
	}
	entries := make([]logservice.Entry, 0, len(due))
	for _, version := range due {
		data, err := version.Reappend().Encode()
		if err != nil {
			r.failed.Add(1)
			continue
		}
		entries = append(entries, logservice.Entry{ID: r.nextID(), Data: data})
	}
	ctx, cancel := context.WithTimeout(ctx, reappendTimeout)
	defer cancel()
	for _, appended := range r.appender.AppendAll(ctx, Stream, logservice.PurposeConfiguration, entries) {
		if appended.Err != nil {
			r.failed.Add(1)
			continue
		}
		r.reappended.Add(1)
	}
}

func (r *Reappender) nextID() string {
	self := r.members.Self()
	r.sequence++
	return fmt.Sprintf("%s.%d.reappend.%d", self.VM, self.Incarnation, r.sequence)
}

// due returns the versions that this VM must re-append now, at most
// maxReappendsPerCheck. It returns none unless the log was read up to its head,
// because append times are not known before.
func (r *Reappender) due() []appendedVersion {
	snapshot := r.store.Snapshot()
	if snapshot == nil {
		return nil
	}
	versions, now := r.store.lastAppended()
	retention := snapshot.Fleet().Times.LogRetention.D()
	members := r.members.Members()
	due := slices.DeleteFunc(versions, func(v appendedVersion) bool {
		rank := rendezvous.Rank(v.Record.Subject, r.members.Self().VM, members, membership.Member.Available)
		return r.age(v, now, retention) < reappendAge(retention, rank)
	})
	slices.SortStableFunc(due, func(a, b appendedVersion) int { return cmp.Compare(a.appendedAt.UnixNano(), b.appendedAt.UnixNano()) })
	return due[:min(len(due), maxReappendsPerCheck)]
}

// age returns the time since a version was last appended. A version that is
// missing from the log is due for the responsible VM from the moment at which it
// was first found missing.
func (r *Reappender) age(v appendedVersion, now time.Time, retention time.Duration) time.Duration {
	subject := v.Record.Subject
	if !v.appendedAt.IsZero() {
		delete(r.missingSince, subject)
		return now.Sub(v.appendedAt)
	}
	if _, ok := r.missingSince[subject]; !ok {
		r.missingSince[subject] = now
	}
	return now.Sub(r.missingSince[subject]) + retention/reappendDivisor
}

// reappendAge returns the age at which the VM with the given rank re-appends a
// version.
func reappendAge(retention time.Duration, rank int) time.Duration {
	return retention/reappendDivisor + time.Duration(min(rank, maxTakeovers))*retention/takeoverDivisor
}
