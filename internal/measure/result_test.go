package measure

import (
	"bytes"
	"encoding/xml"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// testResult returns the result of two policies at two loads. At load 1.0 the
// goodput of the router's policy is that of the baseline times the factor.
func testResult(factor float64) *Result {
	point := func(policy string, load, good, wasted float64) Point {
		return Point{
			Variant: policy, Policy: policy, Load: load,
			Model:   Summary{GoodPerSecond: good, GoodShare: good / (20 * load)},
			Prefill: Prefill{WastedShare: wasted},
		}
	}
	return &Result{Title: "test", Points: []Point{
		point(RouterPolicy, 1, 10*factor, 0),
		point("p2c", 1, 10, 0.2),
		point(RouterPolicy, 2, 10*factor, 0.001),
		point("p2c", 2, 5, 0.5),
	}}
}

func TestResultFileIsReadBack(t *testing.T) {
	file := filepath.Join(t.TempDir(), "result.json")
	written := testResult(1.6)
	assert.NilError(t, written.WriteFile(file))
	read, err := ReadFile(file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, written)
	_, err = ReadFile(file + ".absent")
	assert.ErrorType(t, err, isType(BadResult))
}

func TestGoalsAreEvaluated(t *testing.T) {
	reached := func(r *Result) []bool {
		var all []bool
		for _, g := range Goals(r, RouterPolicy) {
			all = append(all, g.Reached)
		}
		return all
	}
	assert.DeepEqual(t, reached(testResult(1.6)), []bool{true, true, true})
	assert.DeepEqual(t, reached(testResult(1.4)), []bool{false, true, true})
	assert.DeepEqual(t, reached(testResult(1.95)), []bool{true, true, true})
	bad := testResult(1.6)
	bad.Points[2].Prefill.WastedShare = 0.01
	bad.Points[2].Model.GoodPerSecond *= 0.94
	assert.DeepEqual(t, reached(bad), []bool{true, false, false})
	bad.Points = bad.Points[:2]
	assert.Equal(t, len(Goals(bad, RouterPolicy)), 2)
}

func TestCompareMatchesPoints(t *testing.T) {
	a, b := testResult(1), testResult(2)
	a.Points = a.Points[:1]
	all, err := Compare(a, b)
	assert.NilError(t, err)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, all[0].GoodPerSecond.String(), "10.00 -> 20.00 (x2.00)")
	assert.Equal(t, all[0].Wasted.String(), "0.00 -> 0.00")
	var out bytes.Buffer
	assert.NilError(t, WriteComparisons(&out, all))
	assert.Assert(t, strings.Contains(out.String(), "(x2.00)"), out.String())
	a.Points[0].Fault = "engine-crash"
	_, err = Compare(a, b)
	assert.ErrorType(t, err, isType(BadResult))
}

func TestTablesShowFailedChecks(t *testing.T) {
	r := testResult(1)
	r.Points[1].Checks = []Check{{Name: CheckMemory, Subjects: 1, Broken: 1, Examples: []string{"4 pieces"}}}
	r.Points[1].Classes = []ClassSummary{{Class: "text", Summary: Summary{Refusals: map[string]int{"/problems/overloaded not-run": 7}}}}
	var out bytes.Buffer
	assert.NilError(t, WriteResult(&out, r))
	for _, want := range []string{"1 BROKEN", "4 pieces", CheckMemory, "/problems/overloaded not-run", "50.00 %"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s in %s", want, out.String())
	}
	assert.Equal(t, r.Broken(), 1)
}

func TestPlotIsWellFormed(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WritePlot(&out, testResult(1)))
	text := out.String()
	for _, want := range []string{"<svg", RouterPolicy, "p2c"} {
		assert.Assert(t, strings.Contains(text, want), want)
	}
	decoder := xml.NewDecoder(&out)
	var err error
	for err == nil {
		_, err = decoder.Token()
	}
	assert.Equal(t, err, io.EOF)
}
