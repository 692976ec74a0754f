package finding

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReportListsAllFindingsInOrderOfPlace(t *testing.T) {
	var report Report
	report.Addf("b", "second")
	report.Addf("a", "first")
	report.Locate("x.json", func(path string) int {
		if path == "a" {
			return 3
		}
		return 7
	})
	assert.Error(t, report.Err(), "x.json:3: a: first\nx.json:7: b: second")
}

func TestEmptyReportIsNoError(t *testing.T) {
	var report Report
	assert.NilError(t, report.Err())
}
