package problem

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// page returns the documentation page of all problem types.
func page(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/operations/problems.md")
	assert.NilError(t, err)
	return string(text)
}

// typeText matches problem types in the text of the page.
var typeText = regexp.MustCompile(`/problems/[a-z-]+`)

func TestPageDescribesEveryType(t *testing.T) {
	text := page(t)
	for kind, title := range Types() {
		row := "| `" + string(kind) + "` | " + title + " | "
		assert.Equal(t, strings.Count(text, row), 1, "row of %s", kind)
		assert.Equal(t, strings.Count(text, "\n## `"+string(kind)+"`\n"), 1, "section of %s", kind)
	}
}

func TestPageNamesNoOtherType(t *testing.T) {
	for _, name := range typeText.FindAllString(page(t), -1) {
		_, known := Types()[Type(name)]
		assert.Assert(t, known, name)
	}
}
