package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long a crash counts.
	Retention = 10 * time.Minute
	// acceptMargin is the part of the retention at whose end facts of other VMs are no
	// longer accepted, so that VMs do not teach each other facts that they just dropped.
	acceptMargin = 10 * time.Second
	// soundWindow is the time before a crash within which an answer that began well
	// clears its parts of that crash.
	soundWindow = 3 * time.Second
	// soundTolerance is the least time by which a later sound answer replaces an earlier
	// one. It exceeds the delays by which the same one differs between VMs.
	soundTolerance = 500 * time.Millisecond
	// clusterTime is the time within which crashes under prompts with one part count as one,
	// since engines that end at the same moment may have a cause in common.
	clusterTime = 300 * time.Millisecond
	// requestClusterTime is the same for crashes under one request, which is at one engine after
	// the other.
	requestClusterTime = 25 * time.Millisecond
	// minClusters is the number of crashes from which a part or a request is quarantined.
	minClusters = 3
)

// subject is what may crash engines of a service: a part of prompts, or a whole request of one caller
// or of any.
type subject struct{ service, part string }

// crashKey identifies a crash: an engine's process ends once.
type crashKey struct{ service, engine string }

// crash is a crash at a time of this process's clock.
type crash struct {
	crashKey
	at    time.Duration
	parts []string
	// subjects are the parts and the whole requests among them for any caller.
	subjects []string
}

// ledger holds the facts that are known to a VM and decides which parts are quarantined.
// It is not safe for concurrent use.
type ledger struct {
	crashes map[crashKey]*crash
	// sounds are the times of the latest sound answers with parts that were suspected.
	sounds map[subject]time.Duration
}

func newLedger() *ledger {
	return &ledger{crashes: make(map[crashKey]*crash), sounds: make(map[subject]time.Duration)}
}

// merge adds facts and returns those that change something.
func (l *ledger) merge(now time.Duration, f Facts) Facts {
	var news Facts
	for _, c := range f.Crashes {
		if c.valid() && l.addCrash(now, &c) {
			news.Crashes = append(news.Crashes, c)
		}
	}
	for _, s := range f.Sounds {
		if s.valid() && l.addSound(now, &s) {
			news.Sounds = append(news.Sounds, s)
		}
	}
	l.limit()
	return news
}

// addCrash adds a crash, or parts of another VM's requests to a known one.
func (l *ledger) addCrash(now time.Duration, c *Crash) bool {
	key := crashKey{c.Service, c.Engine}
	known := l.crashes[key]
	if known == nil {
		if c.Age > Retention-acceptMargin {
			return false
		}
		known = &crash{crashKey: key, at: now - c.Age}
		known.setParts(sortedSet(c.Parts))
		l.crashes[key] = known
		return true
	}
	known.at = min(known.at, now-c.Age)
	parts := sortedSet(append(slices.Clone(known.parts), c.Parts...))
	if len(parts) == len(known.parts) || len(parts) > maxParts {
		return false
	}
	known.setParts(parts)
	return true
}

func (c *crash) setParts(parts []string) { c.parts, c.subjects = parts, withAnyCaller(parts) }

func sortedSet(values []string) []string { return slices.Compact(slices.Sorted(slices.Values(values))) }

// addSound adds a sound answer if it is later than the known one.
func (l *ledger) addSound(now time.Duration, s *Sound) bool {
	at := now - s.Age
	key := subject{s.Service, s.Part}
	known, ok := l.sounds[key]
	if s.Age > Retention-acceptMargin || ok && at < known+soundTolerance {
		return false
	}
	l.sounds[key] = at
	general := subject{s.Service, ofAnyCaller(s.Part)}
	if known, ok := l.sounds[general]; general.part != "" && (!ok || at > known) {
		l.sounds[general] = at
	}
	return true
}

// limit drops the oldest facts beyond what VMs share.
func (l *ledger) limit() {
	if excess := len(l.crashes) - maxCrashes; excess > 0 {
		for _, c := range l.ordered(func(*crash) bool { return true })[:excess] {
			delete(l.crashes, c.crashKey)
		}
	}
	for len(l.sounds) > maxSounds {
		delete(l.sounds, l.oldestSound())
	}
}

func (l *ledger) oldestSound() subject {
	var oldest subject
	found := false
	for key, at := range l.sounds {
		if !found || at < l.sounds[oldest] {
			oldest, found = key, true
		}
	}
	return oldest
}

// expire drops the facts whose retention is over.
func (l *ledger) expire(now time.Duration) {
	maps.DeleteFunc(l.crashes, func(_ crashKey, c *crash) bool { return now-c.at >= Retention })
	maps.DeleteFunc(l.sounds, func(_ subject, at time.Duration) bool { return now-at >= Retention })
}

// all returns all facts.
func (l *ledger) all(now time.Duration) Facts {
	var f Facts
	for _, c := range l.ordered(func(*crash) bool { return true }) {
		f.Crashes = append(f.Crashes, c.fact(now))
	}
	for key, at := range l.sounds {
		f.Sounds = append(f.Sounds, Sound{Service: key.service, Part: key.part, Age: now - at})
	}
	return f
}

func (c *crash) fact(now time.Duration) Crash {
	return Crash{Service: c.service, Engine: c.engine, Parts: c.parts, Age: max(0, now-c.at)}
}

// digest identifies the crashes and which of their parts are cleared. It is 0 if there are
// no crashes.
func (l *ledger) digest() uint64 {
	var digest uint64
	for _, c := range l.crashes {
		hash := xxhash.New()
		for _, text := range append([]string{c.service, c.engine}, c.parts...) {
			_, _ = hash.WriteString(text + "\x00")
		}
		for _, part := range l.suspects(c) {
			_, _ = hash.WriteString("\x00" + part)
		}
		digest ^= hash.Sum64()
	}
	return digest
}

// cleared reports whether an answer that began well clears a part of a crash.
func (l *ledger) cleared(c *crash, part string) bool {
	at, ok := l.sounds[subject{c.service, part}]
	return ok && at >= c.at-soundWindow
}

// suspects returns the subjects of a crash that may have caused it.
func (l *ledger) suspects(c *crash) []string {
	var suspects []string
	for _, part := range c.subjects {
		if !l.cleared(c, part) {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// suspected returns all subjects that may have caused a crash.
func (l *ledger) suspected() map[subject]bool {
	all := make(map[subject]bool)
	for _, c := range l.crashes {
		for _, name := range l.suspects(c) {
			all[subject{c.service, name}] = true
		}
	}
	return all
}

// clears reports whether a sound answer at a time would clear its part of any crash.
func (l *ledger) clears(key subject, at time.Duration) bool {
	for _, c := range l.crashes {
		if c.service == key.service && at >= c.at-soundWindow && slices.Contains(c.subjects, key.part) && !l.cleared(c, key.part) {
			return true
		}
	}
	return false
}

// ordered returns the crashes that meet a condition by their times.
func (l *ledger) ordered(condition func(*crash) bool) []*crash {
	var crashes []*crash
	for _, c := range l.crashes {
		if condition(c) {
			crashes = append(crashes, c)
		}
	}
	slices.SortFunc(crashes, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.service, b.service), cmp.Compare(a.engine, b.engine))
	})
	return crashes
}
