package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// firstTrialDelay is the time from the last crash of a quarantined part to the first
	// trial. It doubles with each crash beyond those that led to the quarantine.
	firstTrialDelay = time.Minute
	// maxTrialDoublings limits the doubling; later trials come after the retention.
	maxTrialDoublings = 4
)

// verdict is a set of parts one of which crashes engines, or a request that does. Several parts are
// in one verdict if no crash tells them apart. Requests with all of them are held back.
type verdict struct {
	service string
	parts   []string
	crashes []*crash
	// clusters is the number of crashes that count.
	clusters int
}

// key identifies the verdict.
func (v *verdict) key() string { return v.service + "\x00" + strings.Join(v.parts, "\x00") }

// whole reports whether the verdict is on a request, not on parts of prompts.
func (v *verdict) whole() bool { return isIdentity(v.parts[0]) }

// matches reports whether a request with some subjects has all parts of the verdict.
func (v *verdict) matches(subjects []string) bool { return containsAll(subjects, v.parts) }

func containsAll[T comparable](all, wanted []T) bool {
	return !slices.ContainsFunc(wanted, func(one T) bool { return !slices.Contains(all, one) })
}

// explains reports whether all of the crashes led to the verdict.
func (v *verdict) explains(crashes []*crash) bool { return containsAll(v.crashes, crashes) }

// explained reports whether one of several verdicts explains all of the crashes.
func explained(verdicts []*verdict, crashes []*crash) bool {
	return slices.ContainsFunc(verdicts, func(v *verdict) bool { return v.explains(crashes) })
}

// lastCrash returns the time of the last crash.
func (v *verdict) lastCrash() time.Duration { return v.crashes[len(v.crashes)-1].at }

// trialAt returns the time from which a single request may be sent to find out whether
// engines still crash.
func (v *verdict) trialAt() time.Duration {
	return v.lastCrash() + firstTrialDelay<<min(v.clusters-minClusters, maxTrialDoublings)
}

// facts returns the crashes that led to the verdict, with its parts only.
func (v *verdict) facts(now time.Duration) Facts {
	var f Facts
	for _, c := range v.crashes {
		fact := c.fact(now)
		fact.Parts = v.parts
		f.Crashes = append(f.Crashes, fact)
	}
	return f
}

// verdicts returns what explains the crashes. The most specific subject that does is blamed: a request of
// one caller before the request of any caller, and both before parts of prompts. A less specific one is
// blamed only if it has crashes beyond those, and then in place of the more specific ones.
func (l *ledger) verdicts() []*verdict {
	services := make(map[string]bool)
	for _, c := range l.crashes {
		services[c.service] = true
	}
	var all []*verdict
	for _, service := range slices.Sorted(maps.Keys(services)) {
		crashes := l.ordered(func(c *crash) bool { return c.service == service })
		requests := l.requestVerdicts(service, crashes)
		parts := l.partVerdicts(service, crashes, requests)
		requests = slices.DeleteFunc(requests, func(v *verdict) bool { return explained(parts, v.crashes) })
		all = append(append(all, requests...), parts...)
	}
	return all
}

// bySubject returns the crashes that each subject of a kind may have caused.
func (l *ledger) bySubject(crashes []*crash, kind func(name string) bool) map[string][]*crash {
	found := make(map[string][]*crash)
	for _, c := range crashes {
		for _, name := range l.suspects(c) {
			if kind(name) {
				found[name] = append(found[name], c)
			}
		}
	}
	return found
}

// requestVerdicts returns the verdicts on whole requests. Requests that were at the same engines have a
// verdict each: unlike parts, several of them never come as one request that could tell them apart.
func (l *ledger) requestVerdicts(service string, crashes []*crash) []*verdict {
	blame := func(found map[string][]*crash, moreSpecific []*verdict) []*verdict {
		var blamed []*verdict
		for _, name := range slices.Sorted(maps.Keys(found)) {
			v := &verdict{service: service, parts: []string{name}, crashes: found[name]}
			v.clusters = countClusters(v.crashes, requestClusterTime)
			if v.clusters >= minClusters && !explained(moreSpecific, v.crashes) {
				blamed = append(blamed, v)
			}
		}
		return blamed
	}
	ofOne := blame(l.bySubject(crashes, func(name string) bool { return ofAnyCaller(name) != "" }), nil)
	ofAny := blame(l.bySubject(crashes, func(name string) bool { return isIdentity(name) && ofAnyCaller(name) == "" }), ofOne)
	return append(slices.DeleteFunc(ofOne, func(v *verdict) bool { return explained(ofAny, v.crashes) }), ofAny...)
}

// partVerdicts returns the verdicts on parts of prompts, those with most crashes first, without parts
// whose crashes one request explains. A crash that a verdict explains does not count for other parts,
// which bystanders at the same engine may have had.
func (l *ledger) partVerdicts(service string, crashes []*crash, requests []*verdict) []*verdict {
	crashes = slices.Clone(crashes)
	var all []*verdict
	for {
		v := l.strongest(service, crashes, requests)
		if v == nil {
			return all
		}
		all = append(all, v)
		crashes = slices.DeleteFunc(crashes, func(c *crash) bool { return slices.Contains(v.crashes, c) })
	}
}

// strongest returns the verdict on the part with most crashes, nil if there are too few.
// The crashes are in the order of time.
func (l *ledger) strongest(service string, crashes []*crash, requests []*verdict) *verdict {
	byPart := l.bySubject(crashes, func(name string) bool { return !isIdentity(name) })
	var strongest *verdict
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		v := &verdict{service: service, parts: []string{part}, crashes: byPart[part], clusters: countClusters(byPart[part], clusterTime)}
		if explained(requests, v.crashes) {
			continue
		}
		switch order := v.compare(strongest); {
		case order > 0:
			strongest = v
		case order == 0 && slices.Equal(v.crashes, strongest.crashes):
			strongest.parts = append(strongest.parts, part)
		}
	}
	if strongest == nil || strongest.clusters < minClusters {
		return nil
	}
	return strongest
}

// compare orders verdicts by their evidence; nil is the weakest.
func (v *verdict) compare(other *verdict) int {
	if other == nil {
		return 1
	}
	return cmp.Or(cmp.Compare(v.clusters, other.clusters), cmp.Compare(len(v.crashes), len(other.crashes)))
}

// countClusters counts crashes in the order of time; those within a time of the first of them
// count as one.
func countClusters(crashes []*crash, within time.Duration) int {
	count, began := 0, time.Duration(0)
	for _, c := range crashes {
		if count == 0 || c.at-began >= within {
			count++
			began = c.at
		}
	}
	return count
}
