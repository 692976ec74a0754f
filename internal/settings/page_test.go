package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/ospreyshed/ospreyshed/internal/fielddoc"
)

// TestPageIsUpToDate compares docs/operations/settings.md with the head in
// testdata and the field documentation; "-update" rewrites the page.
func TestPageIsUpToDate(t *testing.T) {
	head, err := os.ReadFile("testdata/page_head.md")
	assert.NilError(t, err)
	fields, err := fielddoc.Render(".", "Settings")
	assert.NilError(t, err)
	page, err := filepath.Abs("../../docs/operations/settings.md")
	assert.NilError(t, err)
	golden.Assert(t, strings.TrimSuffix(string(head)+"\n"+fields, "\n"), page)
}

// TestPageExampleIsValid parses the example on the page.
func TestPageExampleIsValid(t *testing.T) {
	head, err := os.ReadFile("testdata/page_head.md")
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(head), "```jsonc\n")
	assert.Assert(t, found)
	example, _, found := strings.Cut(rest, "```")
	assert.Assert(t, found)
	_, err = Parse("example", []byte(example))
	assert.NilError(t, err)
}
