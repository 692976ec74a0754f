package cli

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
	"github.com/ospreyshed/ospreyshed/internal/timeline/timelinerpc"
)

// startTimeline serves the events of a ring and returns the server's address.
func startTimeline(t *testing.T, ring *timeline.Ring) string {
	t.Helper()
	return serve(t, timelinerpc.NewHandler(ring).Handler)
}

func TestTimelineMergesEntryVMs(t *testing.T) {
	a, b := timeline.NewRing("vm-a", 1, 8), timeline.NewRing("vm-b", 2, 8)
	a.Record(timeline.RequestReceived, "vm-a.1.5", "")
	b.Record(timeline.SlotReserved, "vm-a.1.5.1", "decode-1")
	a.Record(timeline.RequestAnswered, "vm-a.1.5", "")
	a.Record(timeline.RequestAnswered, "vm-a.1.6", "")
	vms := []string{"timeline", "--vm", startTimeline(t, a), "--vm", startTimeline(t, b)}

	code, out := runMain(append(vms, "--request", "vm-a.1.5")...)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, strings.Count(out, "\n"), 3)
	assert.Assert(t, strings.Contains(out, " vm-b.2 vm-a.1.5.1 slot.reserved decode-1\n"), out)

	code, out = runMain(append(vms, "--json")...)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, strings.Count(out, `"kind":`), 4)
}

func TestTimelinePrintsPartialResultsAndFails(t *testing.T) {
	ring := timeline.NewRing("vm-a", 1, 8)
	ring.Record(timeline.RequestReceived, "1", "")
	closed := httptest.NewServer(nil)
	closed.Close()
	code, out := runMain("timeline", "--vm", startTimeline(t, ring), "--vm", closed.Listener.Addr().String())
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(out, "request.received"), out)
}

func TestTimelineUsage(t *testing.T) {
	code, _ := runMain("timeline")
	assert.Equal(t, code, ExitUsage)
	code, _ = runMain("timeline", "--vm", "127.0.0.1:1", "--ca", "x.pem")
	assert.Equal(t, code, ExitUsage)
}

func TestTimelineFollowsUntilInterrupted(t *testing.T) {
	ring := timeline.NewRing("vm-a", 1, 8)
	ring.Record(timeline.RequestReceived, "1", "")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	reader, writer := io.Pipe()
	done := make(chan int, 1)
	args := []string{"timeline", "--follow", "--vm", startTimeline(t, ring)}
	go func() {
		done <- Main(ctx, args, Streams{Out: writer, Err: &bytes.Buffer{}})
		_ = writer.Close()
	}()
	line := make([]byte, 256)
	for _, kind := range []timeline.Kind{timeline.RequestReceived, timeline.RequestAnswered} {
		n, err := reader.Read(line)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(line[:n]), string(kind)))
		ring.Record(timeline.RequestAnswered, "1", "")
	}
	cancel()
	_, err := io.Copy(io.Discard, reader)
	assert.NilError(t, err)
	assert.Equal(t, <-done, ExitOK)
}
