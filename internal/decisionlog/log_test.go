package decisionlog

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestLinesCarryTheirFields(t *testing.T) {
	var output bytes.Buffer
	log := New(&output, logrus.Fields{"vm": "a"})
	log.Decide("request answered", logrus.Fields{"request": "r1", "status": 200})
	log.Close()
	var line map[string]any
	assert.NilError(t, json.Unmarshal(output.Bytes(), &line))
	assert.Equal(t, line["msg"], "request answered")
	assert.Equal(t, line["vm"], "a")
	assert.Equal(t, line["request"], "r1")
	assert.Equal(t, log.Written(), int64(1))
}

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestLoggingNeverBlocksOnTheOutput(t *testing.T) {
	release := make(chan struct{})
	log := New(blockedWriter{release}, nil)
	for range 3 * queuedLines {
		log.Change("endpoint joined", nil)
	}
	assert.Assert(t, log.Dropped() >= queuedLines, "dropped %d", log.Dropped())
	close(release)
	log.Close()
}

func TestRequestLinesAreRateLimited(t *testing.T) {
	log := Discard()
	for range 10 * lineBurst {
		log.Decide("request answered", nil)
	}
	assert.Assert(t, log.Dropped() > 5*lineBurst, "dropped %d", log.Dropped())
	log.Close()
}

func TestTimelineEventsAreLogged(t *testing.T) {
	var output bytes.Buffer
	log := New(&output, nil)
	ring := timeline.NewRing("a", 1, 8)
	Recorder{Ring: ring, Log: log}.Record(timeline.EndpointEjected, "", "e1")
	log.Close()
	assert.Equal(t, len(ring.Since(timeline.Query{}).Events), 1)
	assert.Assert(t, bytes.Contains(output.Bytes(), []byte(`"endpoint.ejected"`)))
}
