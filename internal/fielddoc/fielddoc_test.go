package fielddoc

import (
	"os"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const source = `package p

// Root is the root.
type Root struct {
	// Name is a
	// name|text.
	Name string ` + "`json:\"name,omitempty\"`" + `
	// List holds parts.
	List []*Part ` + "`json:\"list\"`" + `
}

// Part is a part.
type Part struct {
	// Wait is a wait.
	Wait configuration.Duration ` + "`json:\"wait\" default:\"3s\"`" + `
}

// Other is not used.
type Other struct {
	Undocumented int
}
`

func render(t *testing.T, root string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "p.go"), []byte(source), 0o600))
	return Render(dir, root)
}

func TestRender(t *testing.T) {
	got, err := render(t, "Root")
	assert.NilError(t, err)
	assert.Equal(t, got, "## Top level\n\nRoot is the root.\n\n"+
		"| field | type | default | meaning |\n| --- | --- | --- | --- |\n"+
		"| `name` | string |  | Name is a name\\|text. |\n"+
		"| `list` | array of objects |  | List holds parts. |\n\n"+
		"## `list[]`\n\nPart is a part.\n\n"+
		"| field | type | default | meaning |\n| --- | --- | --- | --- |\n"+
		"| `wait` | duration | `3s` | Wait is a wait. |\n\n")
}

func TestUndocumentedFieldIsAnError(t *testing.T) {
	_, err := render(t, "Other")
	assert.Error(t, err, "field Other.Undocumented has no JSON name or no doc comment")
}
