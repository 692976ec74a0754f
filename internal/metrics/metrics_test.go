package metrics

import (
	"expvar"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/ospreyshed/ospreyshed/internal/timeline"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestPageIsUpToDate(t *testing.T) {
	page, err := filepath.Abs("../../docs/operations/counters.md")
	assert.NilError(t, err)
	golden.Assert(t, Page(), page)
}

func TestCatalogIsComplete(t *testing.T) {
	form := regexp.MustCompile(`^[a-z]+[0-9]*(_[a-z]+)*(_\*)?$`)
	groups := map[string]bool{}
	for _, group := range Catalog() {
		assert.Assert(t, !groups[group.Name], group.Name)
		groups[group.Name] = true
		assert.Assert(t, form.MatchString(group.Name), group.Name)
		assert.Assert(t, strings.HasSuffix(group.Help, "."), group.Name)
		names := map[string]bool{}
		for _, d := range group.Values {
			name := group.Name + "." + d.Name
			assert.Assert(t, !names[d.Name], name)
			names[d.Name] = true
			assert.Assert(t, form.MatchString(d.Name), name)
			assert.Assert(t, d.Kind != "" && d.Unit != "", name)
			assert.Assert(t, strings.HasSuffix(d.Help, ".") && strings.HasSuffix(d.Action, "."), name)
			assert.Assert(t, !strings.Contains(d.Help+d.Action, "|"), name)
		}
	}
}

type cancelCounters struct {
	Sent, Confirmed, Abandoned atomic.Int64
	InFlight                   atomic.Uint64
}

func TestRegistryReportsDifferencesFromTheCatalog(t *testing.T) {
	registry := NewRegistry()
	var counters cancelCounters
	counters.Sent.Add(3)
	registry.Mount("canceller", Fields(&counters))
	decided := new(expvar.Map)
	decided.Add("decided_run", 1)
	decided.Add("decide_run", 1)
	registry.Mount("claim", decided)
	registry.Mount("nonsense", decided)
	assert.DeepEqual(t, registry.Undocumented(), []string{
		"canceller.in_flight", "claim.decide_run", "nonsense.decide_run", "nonsense.decided_run",
	})
	unpublished := strings.Join(registry.Unpublished(), " ")
	assert.Assert(t, strings.HasPrefix(unpublished, "canceller.pending claim.appends "), unpublished)
	assert.Assert(t, !strings.Contains(unpublished, wildcard), unpublished)
}

func TestTimelineIsDocumented(t *testing.T) {
	registry := NewRegistry()
	registry.Mount("timeline", timeline.NewRing("vm-a", 1, 1).Metrics())
	assert.Equal(t, len(registry.Undocumented()), 0)
	assert.Equal(t, len(registry.Unpublished()), 0)
}

func TestHandlerServesCurrentValues(t *testing.T) {
	registry := NewRegistry()
	var counters cancelCounters
	registry.Mount("canceller", Fields(&counters))
	registry.Mount("scheduling", Snapshot(func() struct{ Granted uint64 } {
		return struct{ Granted uint64 }{counters.InFlight.Load() + 1}
	}))
	counters.InFlight.Add(2)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/debug/vars", nil)
	response := httptest.NewRecorder()
	registry.Handler().ServeHTTP(response, request)
	assert.Equal(t, response.Body.String(),
		`{"canceller": {"abandoned": 0, "confirmed": 0, "in_flight": 2, "sent": 0}, "scheduling": {"granted": 3}}`)
}

// Embedded is a struct of counters that is embedded in another struct.
type Embedded struct{ RefusedFull uint64 }

func TestSnapshotPublishesEmbeddedFields(t *testing.T) {
	values := Snapshot(func() struct {
		Waiting int
		Embedded
	} {
		return struct {
			Waiting int
			Embedded
		}{Waiting: 2, Embedded: Embedded{RefusedFull: 3}}
	})
	assert.Equal(t, values.String(), `{"refused_full": 3, "waiting": 2}`)
}
