package measure

import "sync"

// progressCounter counts finished requests by status and reports the counts after
// each of them.
type progressCounter struct {
	mu     sync.Mutex
	counts Progress
	report func(Progress)
}

func newProgressCounter(planned int, report func(Progress)) *progressCounter {
	return &progressCounter{counts: Progress{Planned: planned}, report: report}
}

func (p *progressCounter) add(r *record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r.status {
	case statusAnswered:
		p.counts.Answered++
	case statusRefused:
		p.counts.Refused++
	default:
		p.counts.Failed++
	}
	if p.report != nil {
		p.report(p.counts)
	}
}
