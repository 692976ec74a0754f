package questionnaire

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/ospreyshed/ospreyshed/internal/fielddoc"
)

// TestPageIsUpToDate compares docs/operations/questionnaire.md with the head in
// testdata and the field documentation; "-update" rewrites the page.
func TestPageIsUpToDate(t *testing.T) {
	head, err := os.ReadFile("testdata/page_head.md")
	assert.NilError(t, err)
	fields, err := fielddoc.Render(".", "Questionnaire")
	assert.NilError(t, err)
	page, err := filepath.Abs("../../docs/operations/questionnaire.md")
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

// TestDependentDefaultsAreDocumented checks that the defaults which are not in
// field tags are applied and documented.
func TestDependentDefaultsAreDocumented(t *testing.T) {
	fields, err := fielddoc.Render(".", "Questionnaire")
	assert.NilError(t, err)
	q, err := Parse("base.json", []byte(base))
	assert.NilError(t, err)
	decode := q.Services[0].Engines[2]
	class := q.Teams[0].Classes[0]
	assert.Equal(t, decode.Slots, 20)
	assert.Equal(t, decode.MemoryPieces, 400)
	assert.Equal(t, decode.PieceTokens, 2000)
	assert.Equal(t, decode.LinkBytesPerSecond, int64(5_000_000_000))
	assert.Equal(t, class.MaxPromptTokens, 8000)
	assert.Equal(t, class.MaxOutputTokens, 500)
	for _, text := range []string{
		"The default is 20.", "The default is 400 for engines.", "The default is 2000 for engines.",
		"The default is 5000000000 for engines.", "The default is 8000.", "The default is 500.",
	} {
		assert.Assert(t, strings.Contains(fields, text), text)
	}
}
