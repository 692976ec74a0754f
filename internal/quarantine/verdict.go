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

// verdict is a set of parts one of which crashes engines. Several parts are in one verdict
// if no crash tells them apart. Requests with all of them are held back.
type verdict struct {
	service string
	parts   []string
	crashes []*crash
	// clusters is the number of crashes that count.
	clusters int
}

// key identifies the verdict.
func (v *verdict) key() string { return v.service + "\x00" + strings.Join(v.parts, "\x00") }

// matches reports whether a prompt has all parts of the verdict.
func (v *verdict) matches(parts []string) bool {
	return !slices.ContainsFunc(v.parts, func(part string) bool { return !slices.Contains(parts, part) })
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

// verdicts returns the parts that explain the crashes, for each service those with most
// crashes first. A crash that a verdict explains does not count for other parts, which
// bystanders at the same engine may have had.
func (l *ledger) verdicts() []*verdict {
	services := make(map[string]bool)
	for _, c := range l.crashes {
		services[c.service] = true
	}
	var all []*verdict
	for _, service := range slices.Sorted(maps.Keys(services)) {
		crashes := l.ordered(func(c *crash) bool { return c.service == service })
		for {
			v := l.strongest(service, crashes)
			if v == nil {
				break
			}
			all = append(all, v)
			crashes = slices.DeleteFunc(crashes, func(c *crash) bool { return slices.Contains(v.crashes, c) })
		}
	}
	return all
}

// strongest returns the verdict on the part with most crashes, nil if there are too few.
// The crashes are in the order of time.
func (l *ledger) strongest(service string, crashes []*crash) *verdict {
	byPart := make(map[string][]*crash)
	for _, c := range crashes {
		for _, part := range l.suspects(c) {
			byPart[part] = append(byPart[part], c)
		}
	}
	var strongest *verdict
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		v := &verdict{service: service, parts: []string{part}, crashes: byPart[part], clusters: countClusters(byPart[part])}
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

// countClusters counts crashes in the order of time; those within clusterTime of the first
// of them count as one.
func countClusters(crashes []*crash) int {
	count, began := 0, time.Duration(0)
	for _, c := range crashes {
		if count == 0 || c.at-began >= clusterTime {
			count++
			began = c.at
		}
	}
	return count
}
