package node

import (
	"context"
	"sync"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/builds"
	"github.com/ospreyshed/ospreyshed/internal/membership"
)

const (
	// firstViewTime is the time after the start of a process in which other VMs come into view.
	firstViewTime = 2 * time.Second
	// historyPeriod is the time between two checks whether the observation is interrupted.
	historyPeriod = time.Second
)

// historyMonitor measures for how long this VM has observed all changes of the configuration and of the registered
// endpoints. An observation is interrupted while one of both is older than builds.MaxAge, and if the process is held up
// for as long. It is safe for concurrent use.
type historyMonitor struct {
	options *Options
	members membership.View
	// age returns the age of the older one of configuration and registrations.
	age     func() time.Duration
	started time.Time

	mu sync.Mutex
	// checked is the time of the last check.
	checked time.Time
	// since is the beginning of the observation, zero while there is none.
	since time.Time
	// interrupted is set once an observation was interrupted.
	interrupted bool
}

func newHistoryMonitor(options *Options, members membership.View, age func() time.Duration) *historyMonitor {
	now := options.Clock()
	return &historyMonitor{options: options, members: members, age: age, started: now, checked: now}
}

// run checks the observation until ctx ends.
func (m *historyMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(historyPeriod)
	defer ticker.Stop()
	for {
		m.check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// check notes the beginning or an interruption of the observation.
func (m *historyMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	held := now.Sub(m.checked)
	m.checked = now
	if held > builds.MaxAge || m.age() > builds.MaxAge {
		m.interrupted = m.interrupted || !m.since.IsZero()
		m.since = time.Time{}
	}
	if m.since.IsZero() && m.age() <= builds.MaxAge {
		m.since = now
	}
}

// complete reports whether no change within builds.Memory can have been missed: the observation has lasted for as long, or
// it has not been interrupted and the deployment has just begun.
func (m *historyMonitor) complete() bool {
	m.check()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock()
	switch {
	case m.since.IsZero():
		return false
	case now.Sub(m.since) >= builds.Memory:
		return true
	case m.interrupted || now.Sub(m.started) < firstViewTime:
		return false
	}
	return builds.Beginning(time.Now(), m.options.Builds.FirstStart, m.members.Members(), m.options.Builds.Started)
}
