package logtest

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
)

// Link is a log service as seen by one VM. It can pause the VM, before and after
// each of its calls, and partition it from the log. It is safe for concurrent use.
type Link struct {
	service     logservice.Service
	partitioned atomic.Bool
	// resumed is closed at the end of a pause; nil while the VM is not paused.
	resumed atomic.Pointer[chan struct{}]
}

var _ logservice.Service = (*Link)(nil)

// NewLink returns a link to service.
func NewLink(service logservice.Service) *Link { return &Link{service: service} }

// SetPartitioned partitions the VM from the log or ends the partition.
func (l *Link) SetPartitioned(partitioned bool) { l.partitioned.Store(partitioned) }

// Pause blocks all calls until the returned function is called. A call of Pause
// during another pause has no effect.
func (l *Link) Pause() (resume func()) {
	resumed := make(chan struct{})
	if !l.resumed.CompareAndSwap(nil, &resumed) {
		return func() {}
	}
	return func() {
		l.resumed.Store(nil)
		close(resumed)
	}
}

// WaitWhilePaused blocks while the VM is paused.
func (l *Link) WaitWhilePaused() {
	if resumed := l.resumed.Load(); resumed != nil {
		<-*resumed
	}
}

// Append implements logservice.Service.
func (l *Link) Append(ctx context.Context, stream string, entries []logservice.Entry) (uint64, error) {
	l.WaitWhilePaused()
	defer l.WaitWhilePaused()
	if l.partitioned.Load() {
		return 0, logservice.Outage.New("partitioned from the log")
	}
	return l.service.Append(ctx, stream, entries)
}

// Read implements logservice.Service.
func (l *Link) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logservice.Page, error) {
	l.WaitWhilePaused()
	defer l.WaitWhilePaused()
	if l.partitioned.Load() {
		return logservice.Page{}, logservice.Unreadable.New("partitioned from the log")
	}
	return l.service.Read(ctx, stream, from, limit, wait)
}
