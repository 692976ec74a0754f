package logservice_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/platform/logservice"
	"github.com/ospreyshed/ospreyshed/internal/platform/logservice/logtest"
	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

// eventRecorder is a timeline.Recorder that keeps the kind and detail of each event.
type eventRecorder struct {
	mu   sync.Mutex
	seen []string
}

func (e *eventRecorder) Record(kind timeline.Kind, _, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, string(kind)+" "+detail)
}

func TestOutageIsReportedOnceAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{})
		recorder := new(eventRecorder)
		health := logservice.NewHealth(log, recorder)
		log.SetAway(true)
		for i := range 1000 {
			_, err := health.Append(t.Context(), stream, []logservice.Entry{entry(i)})
			assert.Assert(t, errorx.IsOfType(err, logservice.Outage))
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, health.AppendsUnavailable() && !health.ReadsUnavailable())
		assert.Assert(t, log.Appends() < 12, "%d calls during 10 s of outage", log.Appends())
		log.SetAway(false)
		time.Sleep(2 * time.Second)
		_, err := health.Append(t.Context(), stream, []logservice.Entry{entry(0)})
		assert.NilError(t, err)
		assert.Assert(t, !health.AppendsUnavailable())
		assert.Assert(t, slices.Equal(recorder.seen, []string{"log.away append", "log.back append"}), "%v", recorder.seen)
	})
}

func TestProbeDoesNotWaitForRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logtest.New(logtest.Options{})
		health := logservice.NewHealth(log, timeline.Discard)
		log.SetAway(true)
		for range 3 {
			_, err := health.Read(t.Context(), stream, 0, 1, time.Minute)
			assert.Assert(t, errorx.IsOfType(err, logservice.Unreadable))
		}
		assert.Assert(t, health.ReadsUnavailable())
		log.SetAway(false)
		time.Sleep(time.Second)
		start := time.Now()
		_, err := health.Read(t.Context(), stream, 0, 1, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, !health.ReadsUnavailable())
	})
}

func TestCancelledCallsDoNotCountAsFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health := logservice.NewHealth(logtest.New(logtest.Options{}), timeline.Discard)
		for range 10 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			_, err := health.Read(ctx, stream, 0, 1, time.Minute)
			assert.Assert(t, err != nil)
		}
		assert.Assert(t, !health.ReadsUnavailable())
	})
}
