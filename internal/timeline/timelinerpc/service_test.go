package timelinerpc

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type dialer struct{ server *httptest.Server }

func (d dialer) HTTPClient() connect.HTTPClient { return d.server.Client() }
func (d dialer) BaseURL(string) string          { return d.server.URL }

// process serves the events of a ring; replacing the ring simulates a restart.
type process struct{ ring *timeline.Ring }

func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	NewHandler(p.ring).Handler.ServeHTTP(w, r)
}

func startProcess(t *testing.T) (*process, dialer) {
	t.Helper()
	p := &process{ring: timeline.NewRing("vm-a", 1, 4*maxEvents)}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, dialer{server}
}

func TestReadReturnsAllPagesAndThenOnlyNewEvents(t *testing.T) {
	p, d := startProcess(t)
	for range maxEvents + 10 {
		p.ring.Record(timeline.FirstToken, "r", "decode-1")
	}
	reader := NewReader(d, "", "")
	batch, err := reader.Read(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, batch.Events, p.ring.Since(timeline.Query{}).Events)
	p.ring.Record(timeline.RequestAnswered, "r", "")
	batch, err = reader.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 1)
	assert.Equal(t, batch.Events[0].Kind, timeline.RequestAnswered)
}

func TestRestartedProcessIsReadFromItsFirstEvent(t *testing.T) {
	p, d := startProcess(t)
	p.ring.Record(timeline.RequestReceived, "", "")
	reader := NewReader(d, "", "")
	_, err := reader.Read(t.Context())
	assert.NilError(t, err)
	p.ring = timeline.NewRing("vm-a", 2, 8)
	p.ring.Record(timeline.MemberAlive, "", "")
	batch, err := reader.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 1)
	assert.Equal(t, batch.Events[0].Incarnation, uint64(2))
}

func TestReaderSelectsTheEventsOfOneRequest(t *testing.T) {
	p, d := startProcess(t)
	p.ring.Record(timeline.RequestReceived, "1", "")
	p.ring.Record(timeline.RequestReceived, "2", "")
	batch, err := NewReader(d, "", "2").Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 1)
	assert.Equal(t, batch.Events[0].Request, "2")
}
