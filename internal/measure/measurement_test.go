package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/examples"
	"github.com/ospreyshed/ospreyshed/internal/configuration"
	"github.com/ospreyshed/ospreyshed/internal/localsite"
	"github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/measure/*.json")
	assert.NilError(t, err)
	valid := 0
	for _, file := range files {
		if filepath.Ext(file[:len(file)-len(".json")]) == ".questionnaire" {
			continue
		}
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		settings, err := ParseSettings(file, data)
		assert.NilError(t, err)
		m := &Measurement{Settings: settings, Dir: filepath.Dir(file), result: &Result{}}
		assert.NilError(t, m.prepare(), file)
		valid++
	}
	assert.Assert(t, valid >= 2)
}

func TestSettingsAreChecked(t *testing.T) {
	for _, test := range []struct{ settings, want string }{
		{`{}`, "either a questionnaire or a running system"},
		{`{"variants": [{"policy": "best"}]}`, `"best" is none of`},
		{`{"loads": [0]}`, "must be above 0"},
		{`{"loads": [1], "warm_up": "9m", "duration": "2m"}`, "at most 600 s"},
		{`{"load": {"gone_share": 2}}`, "from 0 to 1"},
		{`{"fault_runs": [{"load": 1, "faults": [{"kind": "fire"}]}]}`, `"fire" is none of`},
		{`{"fault_runs": [{"load": 1, "faults": [{"kind": "vm-stopped"}]}]}`, "name of an entry VM"},
		{`{"output_tokens": {"min": 3, "max": 2}}`, "1 <= min <= max"},
	} {
		_, err := ParseSettings("s.json", []byte(test.settings))
		assert.ErrorContains(t, err, test.want)
	}
}

func quickLoad() Load {
	return Load{
		Classes: []ClassLoad{
			{Team: "quickstart", Class: "summary", Weight: 2, PromptTokens: engine.Range{Min: 200, Max: 800}},
			{Team: "quickstart", Class: "explanation", Weight: 1, PromptTokens: engine.Range{Min: 50, Max: 200}, Keyed: true},
			{Team: "quickstart", Class: "booking", Weight: 2},
		},
		RepeatShare: 0.3, RepeatWithin: configuration.Duration(time.Second),
		GoneShare: 0.1, GoneWithin: configuration.Duration(time.Second),
	}
}

func quickSettings() *Settings {
	return &Settings{
		BearerKeys:   map[string]string{"quickstart": examples.QuickstartKey},
		OutputTokens: engine.Range{Min: 10, Max: 30},
		Seed:         7,
		Duration:     configuration.Duration(1500 * time.Millisecond),
		MemoryWait:   configuration.Duration(20 * time.Second),
		Load:         quickLoad(),
		Loads:        []float64{0.1},
		Variants:     []Variant{{Name: "ours", Policy: RouterPolicy}},
	}
}

// assertChecksPass checks that requests of a point were answered and that all of
// its checks passed.
func assertChecksPass(t *testing.T, p *Point) {
	t.Helper()
	assert.Assert(t, p.Model.Answered > 0, "%+v", p.Model)
	assert.Equal(t, len(p.Broken()), 0, "%s: %+v", p.Fault, p.Broken())
}

func TestMeasurementOfAnInProcessDeployment(t *testing.T) {
	settings := quickSettings()
	settings.Questionnaire = "../../examples/quickstart.json"
	settings.Variants = append(settings.Variants, Variant{Name: "p2c", Policy: "p2c"})
	settings.FaultRuns = []FaultRun{{Load: 0.1, Faults: []Fault{
		{Kind: FaultCrossed, Duration: configuration.Duration(time.Minute)},
		{Kind: FaultVMStop, Endpoint: "entry-b"},
	}}}
	var out bytes.Buffer
	m := &Measurement{Settings: settings, Out: &out}
	result, err := m.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(result.Points), 3)
	for i := range result.Points {
		assertChecksPass(t, &result.Points[i])
		assert.Assert(t, result.Points[i].Prefill.Computed > 0)
	}
	assert.Equal(t, result.Points[0].Model.Sent, result.Points[1].Model.Sent)
	assert.Equal(t, result.Points[2].Fault, "crossed-answers + vm-stopped")
}

func TestMeasurementOfARunningSystem(t *testing.T) {
	bundle, err := localsite.BundleOf("quickstart.json", examples.Quickstart)
	assert.NilError(t, err)
	site, err := localsite.Start(t.Context(), localsite.Options{Bundle: bundle})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, site.Close(context.Background())) }()
	dir := t.TempDir()
	data, err := json.Marshal(site.Bundle)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "configuration.json"), data, 0o600))
	settings := quickSettings()
	settings.OutputTokens = engine.DefaultOptions().OutputTokens
	settings.System = &System{Addresses: site.CallerAddrs(), Configuration: "configuration.json"}
	for _, server := range site.Platform.Engines {
		settings.System.Engines = append(settings.System.Engines, server.Addr())
	}
	for _, server := range site.Platform.Plain {
		settings.System.Plain = append(settings.System.Plain, server.Addr())
	}
	m := &Measurement{Settings: settings, Dir: dir, Out: io.Discard}
	result, err := m.Run(t.Context())
	assert.NilError(t, err)
	assertChecksPass(t, &result.Points[0])
	assert.Assert(t, result.Points[0].Prefill.Computed > 0)
}
