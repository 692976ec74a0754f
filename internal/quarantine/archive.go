package quarantine

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/ospreyshed/ospreyshed/internal/cooldown"
	"github.com/ospreyshed/ospreyshed/internal/decisionlog"
	"github.com/ospreyshed/ospreyshed/internal/finding"
	"github.com/ospreyshed/ospreyshed/internal/membership"
	"github.com/ospreyshed/ospreyshed/internal/rendezvous"
)

const (
	// archiveTimeout bounds a call to the archive.
	archiveTimeout = 2 * time.Second
	// archiveWriters is the number of VMs that write a verdict, so that it is kept if one
	// of them cannot reach the archive.
	archiveWriters = 2
	// archiveWritePause is the least time between two writes of a VM.
	archiveWritePause = time.Second
	// archiveCheckPeriod is the time between two checks of the verdicts while any are known.
	archiveCheckPeriod = time.Second
	// archiveDeleteDelay is the time for which a verdict must have lapsed before it is
	// deleted. It exceeds the time in which another VM's facts arrive.
	archiveDeleteDelay = 5 * time.Second
	// archiveRewritePeriod is the least time between two writes of one verdict whose facts
	// change, and between loading it and writing it.
	archiveRewritePeriod = 30 * time.Second
	// archivePauseSpread is the largest random part of a pause after a failed call, as a
	// fraction of the pause. VMs that start at the same time must not retry at the same time.
	archivePauseSpread = 0.25
	// maxEntryBytes limits the estimated size of an encoded entry.
	maxEntryBytes = 48 << 10
	// factBytes and partBytes estimate the encoded size of a fact and of a part without
	// their names.
	factBytes, partBytes = 64, 4
	// maxArchivedAge is the largest age of a fact in an archive that is taken for valid.
	maxArchivedAge = 366 * 24 * time.Hour
)

// The pauses between failed calls to the archive, without their random part: at most 10 s
// with it for loads, 30 s for writes.
var (
	archiveLoadPauses  = cooldown.Bounds{First: time.Second, Longest: 8 * time.Second}
	archiveWritePauses = cooldown.Bounds{First: archiveWritePause, Longest: 24 * time.Second}
)

// Verdict is the finding that a set of parts crashes engines.
type Verdict struct {
	Service string
	// Parts are the IDs of the parts, sorted.
	Parts []string
	// Facts are the observations from which the verdict follows.
	Facts Facts
}

// Entry is a verdict as it is kept in an archive.
type Entry struct {
	Service string
	// Parts are the IDs of the verdict's parts, sorted.
	Parts []string
	// Facts are the observations from which the verdict follows.
	Facts Facts
	// AsOf is the wall-clock time as of which the ages of the facts hold.
	AsOf time.Time
}

// Archive keeps verdicts beyond the life of all VMs' processes.
type Archive interface {
	// Save keeps the facts of one verdict under a key, replacing earlier ones.
	Save(ctx context.Context, key string, entry Entry) error
	// Delete drops what is kept under a key.
	Delete(ctx context.Context, key string) error
	// Load returns all that is kept.
	Load(ctx context.Context) ([]Entry, error)
	// Era returns a number that rises when the archive may have lost what was saved last.
	Era() uint64
}

// archiveKey returns the key of a verdict. It depends on the service and the parts only.
func archiveKey(service string, parts []string) string {
	sorted := slices.Sorted(slices.Values(parts))
	return fmt.Sprintf("%016x", xxhash.Sum64String(service+"\x00"+strings.Join(sorted, "\x00")))
}

// check returns all findings that make the entry unusable.
func (e *Entry) check() error {
	var report finding.Report
	missing := func(path string, absent bool) {
		if absent {
			report.Addf(path, "is missing")
		}
	}
	missing("service", e.Service == "")
	missing("parts", len(e.Parts) == 0)
	missing("asOf", e.AsOf.IsZero())
	missing("crashes", len(e.Facts.Crashes) == 0)
	age := func(path string, age time.Duration) {
		if age < 0 || age > maxArchivedAge {
			report.Addf(path, "%v is not between 0 and %v", age, maxArchivedAge)
		}
	}
	for i := range e.Facts.Crashes {
		crash, path := &e.Facts.Crashes[i], fmt.Sprintf("crashes[%d].", i)
		missing(path+"service", crash.Service == "")
		missing(path+"engine", crash.Engine == "")
		missing(path+"parts", len(crash.Parts) == 0)
		age(path+"age", crash.Age)
	}
	for i := range e.Facts.Sounds {
		sound, path := &e.Facts.Sounds[i], fmt.Sprintf("sounds[%d].", i)
		missing(path+"service", sound.Service == "")
		missing(path+"part", sound.Part == "")
		age(path+"age", sound.Age)
	}
	return report.Err()
}

// aged returns the facts with their ages advanced.
func (f *Facts) aged(by time.Duration) Facts {
	aged := Facts{Crashes: slices.Clone(f.Crashes), Sounds: slices.Clone(f.Sounds)}
	for i := range aged.Crashes {
		aged.Crashes[i].Age += by
	}
	for i := range aged.Sounds {
		aged.Sounds[i].Age += by
	}
	return aged
}

// limited returns the newest crashes that fit into a number of bytes together with all
// facts about sound parts among theirs. A crash without these would incriminate sound
// parts. Other facts about sound parts are left out.
func (f *Facts) limited(maxBytes int) Facts {
	crashes := slices.Clone(f.Crashes)
	slices.SortStableFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	sounds := f.soundsByPart()
	var kept Facts
	for i := range crashes {
		crash := &crashes[i]
		size := crash.encodedBytes()
		var added []Sound
		for _, part := range crash.Parts {
			for _, sound := range sounds[subject{crash.Service, part}] {
				size += factBytes + len(sound.Service) + len(sound.Part)
				added = append(added, sound)
			}
		}
		if size > maxBytes {
			continue
		}
		maxBytes -= size
		kept.Crashes = append(kept.Crashes, *crash)
		kept.Sounds = append(kept.Sounds, added...)
		for _, part := range crash.Parts {
			delete(sounds, subject{crash.Service, part})
		}
	}
	return kept
}

func (f *Facts) soundsByPart() map[subject][]Sound {
	byPart := make(map[subject][]Sound)
	for _, sound := range f.Sounds {
		of := subject{sound.Service, sound.Part}
		byPart[of] = append(byPart[of], sound)
	}
	return byPart
}

// encodedBytes estimates the encoded size of a crash.
func (c *Crash) encodedBytes() int {
	size := factBytes + len(c.Service) + len(c.Engine)
	for _, part := range c.Parts {
		size += partBytes + len(part)
	}
	return size
}

// fingerprint identifies the facts regardless of their order and ages.
func (f *Facts) fingerprint() uint64 {
	var lines []string
	for i := range f.Crashes {
		crash := &f.Crashes[i]
		parts := slices.Sorted(slices.Values(crash.Parts))
		lines = append(lines, strings.Join(append([]string{"crash", crash.Service, crash.Engine}, parts...), "\x00"))
	}
	for _, sound := range f.Sounds {
		lines = append(lines, strings.Join([]string{"sound", sound.Service, sound.Part}, "\x00"))
	}
	slices.Sort(lines)
	return xxhash.Sum64String(strings.Join(slices.Compact(lines), "\x01"))
}

// archived is what a VM knows of one key.
type archived struct {
	// entry is the verdict in force; nil once it has lapsed.
	entry *Entry
	// lapsed is the time at which the verdict was first seen to have lapsed.
	lapsed time.Time
	// stored is set once this VM has loaded or written the key, with the time of that and
	// the fingerprint of the facts.
	stored      bool
	storedAt    time.Time
	fingerprint uint64
	// attempted is the time of this VM's last write; zero if it made none.
	attempted time.Time
}

// archivePlan decides what a VM writes. It is not safe for concurrent use.
type archivePlan struct {
	keys map[string]*archived
	// era is the archive's era to which the keys' stored flags belong.
	era uint64
}

// enterEra notes the archive's era. In a later one, verdicts have to be written again.
func (p *archivePlan) enterEra(era uint64) {
	if era <= p.era {
		return
	}
	p.era = era
	for _, known := range p.keys {
		known.stored = false
	}
}

// archiveWrite is a write that is due.
type archiveWrite struct {
	key string
	// entry is what to save; nil to delete the key.
	entry *Entry
}

// loaded notes that the archive has an entry.
func (p *archivePlan) loaded(now time.Time, entry *Entry) {
	p.keys[archiveKey(entry.Service, entry.Parts)] = &archived{
		stored: true, storedAt: now, fingerprint: entry.Facts.fingerprint(),
	}
}

// update notes the verdicts in force.
func (p *archivePlan) update(now time.Time, verdicts []Verdict) {
	for _, known := range p.keys {
		known.entry = nil
	}
	for i := range verdicts {
		v := &verdicts[i]
		key := archiveKey(v.Service, v.Parts)
		if p.keys[key] == nil {
			p.keys[key] = &archived{}
		}
		p.keys[key].entry = &Entry{
			Service: v.Service, Parts: v.Parts, Facts: v.Facts.limited(maxEntryBytes), AsOf: now,
		}
		p.keys[key].lapsed = time.Time{}
	}
	for _, known := range p.keys {
		if known.entry == nil && known.lapsed.IsZero() {
			known.lapsed = now
		}
	}
}

// next returns the write that is due first: saves before deletions, so that a verdict that
// replaces another one is kept before that is dropped, then the one attempted least
// recently. Lapsed verdicts that other VMs delete are forgotten.
func (p *archivePlan) next(now time.Time, isWriter func(key string) bool) (archiveWrite, bool) {
	first := ""
	for _, key := range slices.Sorted(maps.Keys(p.keys)) {
		known := p.keys[key]
		switch {
		case !known.due(now):
		case !isWriter(key):
			if known.entry == nil {
				delete(p.keys, key)
			}
		case first == "" || known.before(p.keys[first]):
			first = key
		}
	}
	if first == "" {
		return archiveWrite{}, false
	}
	return archiveWrite{key: first, entry: p.keys[first].entry}, true
}

// due reports whether the key must be written by the VMs that write it.
func (a *archived) due(now time.Time) bool {
	switch {
	case a.entry == nil:
		return now.Sub(a.lapsed) >= archiveDeleteDelay
	case len(a.entry.Facts.Crashes) == 0:
		return false
	case !a.stored:
		return true
	}
	return a.entry.Facts.fingerprint() != a.fingerprint && now.Sub(a.storedAt) >= archiveRewritePeriod
}

// before reports whether the key is written before another one.
func (a *archived) before(b *archived) bool {
	if (a.entry == nil) != (b.entry == nil) {
		return a.entry != nil
	}
	return a.attempted.Before(b.attempted)
}

// done notes the outcome of a write.
func (p *archivePlan) done(now time.Time, write archiveWrite, ok bool) {
	known := p.keys[write.key]
	known.attempted = now
	switch {
	case !ok:
	case write.entry == nil:
		delete(p.keys, write.key)
	default:
		known.stored, known.storedAt, known.fingerprint = true, now, write.entry.Facts.fingerprint()
	}
}

// archiveParams are the inputs of an archivist.
type archiveParams struct {
	View    membership.View
	Archive Archive
	Log     *decisionlog.Log
	// WallClock is comparable between VMs, up to the errors of their clocks. It is
	// time.Now outside of tests.
	WallClock func() time.Time
	// Retention is the time since an entry was written after which it is not restored.
	Retention time.Duration
	// Restore gets the facts that were kept, with their present ages, at most once. A fact
	// may be among them more than once. Verdicts has to reflect them afterwards.
	Restore func(Facts)
	// Verdicts returns the verdicts in force. It must not wait for calls.
	Verdicts func() []Verdict
	// Random spreads the calls of different VMs. Only run uses it.
	Random *rand.Rand
}

// archiveCounters count what an archivist did.
type archiveCounters struct {
	// Loads counts calls that load what is kept, LoadsFailed those without a usable
	// response.
	Loads, LoadsFailed atomic.Int64
	// Restored counts entries whose facts were used, Expired those older than the
	// retention and Unreadable those with unusable contents.
	Restored, Expired, Unreadable atomic.Int64
	// Saves counts calls that save an entry, Deletes those that delete one, WritesFailed
	// those of both that failed.
	Saves, Deletes, WritesFailed atomic.Int64
}

// archivist keeps the verdicts in force in an archive and brings back what was kept.
type archivist struct {
	params   archiveParams
	counters archiveCounters
	plan     archivePlan
	loads    archivePacer
	writes   archivePacer
	// restored is set once the archive was loaded.
	restored bool
	// wake signals run that the verdicts have changed.
	wake chan struct{}
}

// archivePacer spaces calls.
type archivePacer struct {
	bounds   cooldown.Bounds
	failures cooldown.Cooldown
	// next is the time from which a call may be made.
	next time.Time
}

// succeeded notes a call that succeeded.
func (p *archivePacer) succeeded(now time.Time) {
	p.failures = cooldown.Cooldown{}
	p.next = now.Add(p.bounds.First)
}

// failed notes a call that failed. The pause is longer by a random share of spread, from 0
// to 1.
func (p *archivePacer) failed(now time.Time, spread float64) {
	p.failures.Extend(now, p.bounds)
	pause := p.failures.Until().Sub(now)
	p.next = now.Add(pause + time.Duration(archivePauseSpread*spread*float64(pause)))
}

func newArchivist(params archiveParams) *archivist {
	return &archivist{
		params: params,
		plan:   archivePlan{keys: make(map[string]*archived)},
		loads:  archivePacer{bounds: archiveLoadPauses},
		writes: archivePacer{bounds: archiveWritePauses},
		wake:   make(chan struct{}, 1),
	}
}

// notify signals that the set of verdicts has changed. It never blocks.
func (a *archivist) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run restores what was kept and keeps the verdicts in force until ctx ends. It is called
// once and leaves no goroutine. While the archive is away the verdicts stay with the caller.
func (a *archivist) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := a.params.WallClock()
		if !a.restored && !now.Before(a.loads.next) {
			a.load(ctx)
		}
		a.await(ctx, a.step(ctx))
	}
}

// step makes the write that is due, if any, and returns the time of the next step; zero if
// only a change of the verdicts calls for one.
func (a *archivist) step(ctx context.Context) time.Time {
	now := a.params.WallClock()
	a.plan.enterEra(a.params.Archive.Era())
	a.plan.update(now, a.params.Verdicts())
	if !now.Before(a.writes.next) {
		if write, due := a.plan.next(now, a.isWriter); due {
			a.write(ctx, write)
		}
	}
	var next time.Time
	if len(a.plan.keys) > 0 {
		// Verdicts lapse and members change without a notice.
		next = a.params.WallClock().Add(archiveCheckPeriod)
	}
	if !a.restored && (next.IsZero() || a.loads.next.Before(next)) {
		next = a.loads.next
	}
	return next
}

// await waits until a time, if it is not zero, or until the verdicts have changed.
func (a *archivist) await(ctx context.Context, until time.Time) {
	var due <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(until.Sub(a.params.WallClock()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-due:
	}
}

// isWriter reports whether this VM is among those that write a key.
func (a *archivist) isWriter(key string) bool {
	self := a.params.View.Self()
	rank := rendezvous.Rank(key, self.VM, a.params.View.Members(), membership.Member.Available)
	return self.Available() && rank < archiveWriters
}

// load restores what was kept, or sets the time at which that is tried again.
func (a *archivist) load(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	a.counters.Loads.Add(1)
	entries, err := a.params.Archive.Load(limited)
	if err == nil {
		a.restored = true
		a.plan.enterEra(a.params.Archive.Era())
		a.restore(entries)
		return
	}
	a.counters.LoadsFailed.Add(1)
	a.loads.failed(a.params.WallClock(), a.params.Random.Float64())
	a.params.Log.Change("verdicts on crashing parts not loaded", logrus.Fields{"error": err.Error()})
}

// restore passes on the facts of usable entries. Expired entries are deleted later like
// those of verdicts that have lapsed.
func (a *archivist) restore(entries []Entry) {
	now := a.params.WallClock()
	var facts Facts
	for i := range entries {
		entry := &entries[i]
		if err := entry.check(); err != nil {
			a.counters.Unreadable.Add(1)
			a.params.Log.Change("verdict on crashing parts unreadable", logrus.Fields{
				"service": entry.Service, "parts": entry.Parts, "error": err.Error(),
			})
			continue
		}
		a.plan.loaded(now, entry)
		elapsed := max(0, now.Sub(entry.AsOf))
		if elapsed > a.params.Retention {
			a.counters.Expired.Add(1)
			continue
		}
		a.counters.Restored.Add(1)
		aged := entry.Facts.aged(elapsed)
		facts.Crashes = append(facts.Crashes, aged.Crashes...)
		facts.Sounds = append(facts.Sounds, aged.Sounds...)
	}
	if len(entries) > 0 {
		a.params.Log.Change("verdicts on crashing parts loaded", logrus.Fields{
			"restored": a.counters.Restored.Load(), "expired": a.counters.Expired.Load(),
			"unreadable": a.counters.Unreadable.Load(),
		})
	}
	if !facts.Empty() {
		a.params.Restore(facts)
	}
}

// write makes one write and sets the time from which the next one may be made.
func (a *archivist) write(ctx context.Context, write archiveWrite) {
	err := a.call(ctx, write)
	now := a.params.WallClock()
	a.plan.done(now, write, err == nil)
	fields := logrus.Fields{"key": write.key, "delete": write.entry == nil}
	if err == nil {
		a.writes.succeeded(now)
		a.params.Log.Change("verdict on crashing parts written", fields)
		return
	}
	a.counters.WritesFailed.Add(1)
	a.writes.failed(now, a.params.Random.Float64())
	fields["error"] = err.Error()
	a.params.Log.Change("verdict on crashing parts not written", fields)
}

func (a *archivist) call(ctx context.Context, write archiveWrite) error {
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if write.entry == nil {
		a.counters.Deletes.Add(1)
		return a.params.Archive.Delete(limited, write.key)
	}
	a.counters.Saves.Add(1)
	return a.params.Archive.Save(limited, write.key, *write.entry)
}
