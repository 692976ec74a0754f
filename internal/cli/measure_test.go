package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/measure"
)

const quickMeasurement = `{
	"title": "quick",
	"questionnaire": "QUESTIONNAIRE",
	"bearer_keys": {"quickstart": "KEY"},
	"output_tokens": {"min": 5, "max": 10},
	"duration": "500ms",
	"loads": [0.1],
	"load": {"classes": [
		{"team": "quickstart", "class": "summary", "weight": 1, "prompt_tokens": {"min": 50, "max": 100}},
		{"team": "quickstart", "class": "lookup", "weight": 1}
	]}
}`

// measureQuickly runs a short measurement with a bearer key and returns the paths
// of the result file and the plot.
func measureQuickly(t *testing.T, key string) (code int, stdout, result, plot string) {
	t.Helper()
	dir := t.TempDir()
	questionnaire, err := filepath.Abs("../../examples/quickstart.json")
	assert.NilError(t, err)
	relative, err := filepath.Rel(dir, questionnaire)
	assert.NilError(t, err)
	text := strings.NewReplacer("QUESTIONNAIRE", relative, "KEY", key).Replace(quickMeasurement)
	file := filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	result, plot = filepath.Join(dir, "result.json"), filepath.Join(dir, "plot.svg")
	code, stdout = runMain("measure", "--settings", file, "--json", result, "--plot", plot)
	return code, stdout, result, plot
}

func TestMeasureWritesItsResults(t *testing.T) {
	code, stdout, file, plot := measureQuickly(t, "quickstart-key")
	assert.Equal(t, code, ExitOK, stdout)
	assert.Assert(t, strings.Contains(stdout, "quick: capacity"), stdout)
	result, err := measure.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, result.Points[0].Model.Answered > 0, "%+v", result.Points[0].Model)
	drawn, err := os.ReadFile(plot)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(drawn), "<svg"))
	code, shown := runMain("measure", "show", file)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, shown, stdout)
	code, compared := runMain("measure", "compare", file, file)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(compared, "(x1.00)"), compared)
}

func TestFailedCheckFailsTheCommand(t *testing.T) {
	result := &measure.Result{Points: []measure.Point{{Checks: []measure.Check{{Name: "check", Broken: 1}}}}}
	run := &measureRun{base: base{streams: Streams{Out: &strings.Builder{}}}}
	err := run.write(result)
	assert.ErrorContains(t, err, "1 checks failed")
	assert.Equal(t, report(err, Streams{Err: &strings.Builder{}}), ExitFailed)
}

func TestMeasureRejectsInvalidInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(file, []byte("{}"), 0o600))
	for _, args := range [][]string{
		{"measure"},
		{"measure", "--settings", file},
		{"measure", "show", file + ".absent"},
		{"measure", "compare", file, file},
	} {
		code, _ := runMain(args...)
		assert.Equal(t, code, ExitUsage, "%v", args)
	}
}
