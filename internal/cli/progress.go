package cli

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/measure"
)

// progressPeriod is the minimum time between two progress lines.
const progressPeriod = time.Second

// progressPrinter prints the progress of a run about once per progressPeriod. It
// prints from the goroutines of the run, so that nothing is printed after the run.
type progressPrinter struct {
	out io.Writer

	mu   sync.Mutex
	last time.Time
}

func newProgressPrinter(out io.Writer) *progressPrinter {
	return &progressPrinter{out: out, last: time.Now()}
}

// show prints the progress unless the last line was printed less than
// progressPeriod ago.
func (l *progressPrinter) show(p measure.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.last) >= progressPeriod {
		l.last = now
		_, _ = fmt.Fprintf(l.out, "  %d of %d answered, %d refused, %d failed\n", p.Answered, p.Planned, p.Refused, p.Failed)
	}
}
