package measure

import "sync"

// progressCounter counts answers and passes the counts on.
type progressCounter struct {
	mu     sync.Mutex
	counts Progress
	tell   func(Progress)
}

func newProgressCounter(planned int, tell func(Progress)) *progressCounter {
	return &progressCounter{counts: Progress{Planned: planned}, tell: tell}
}

func (p *progressCounter) add(r *record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r.fate {
	case fateAnswered:
		p.counts.Answered++
	case fateRefused:
		p.counts.Refused++
	default:
		p.counts.Failed++
	}
	if p.tell != nil {
		p.tell(p.counts)
	}
}
