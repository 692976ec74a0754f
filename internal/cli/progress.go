package cli

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/measure"
)

const progressPeriod = time.Second

// progressLines prints the progress of a run about once per period, from the
// goroutines that bring the news, so that nothing is printed after the run.
type progressLines struct {
	out io.Writer

	mu   sync.Mutex
	last time.Time
}

func newProgressLines(out io.Writer) *progressLines {
	return &progressLines{out: out, last: time.Now()}
}

// show prints the progress unless the last line is younger than the period.
func (l *progressLines) show(p measure.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.last) >= progressPeriod {
		l.last = now
		_, _ = fmt.Fprintf(l.out, "  %d of %d answered, %d refused, %d failed\n", p.Answered, p.Planned, p.Refused, p.Failed)
	}
}
