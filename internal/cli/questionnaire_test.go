package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

const (
	exampleFile = "../../examples/blechklang.json"
	demoFile    = "../../examples/quickstart.json"
	brokenFile  = "../questionnaire/testdata/broken.json"
)

func TestQuestionnaireCheck(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"no findings", []string{exampleFile}, ExitOK, "no findings"},
		{"no findings as JSON", []string{exampleFile, "--json"}, ExitOK, `"findings": []`},
		{"findings as JSON", []string{brokenFile, "--json"}, ExitUsage, `"path": "teams[1].classes"`},
		{"unassigned", []string{demoFile}, ExitUsage, ""},
		{"unassigned allowed", []string{demoFile, "--allow-unassigned"}, ExitOK, "no findings"},
		{"no file", []string{"absent.json"}, ExitUsage, ""},
		{"no argument", nil, ExitUsage, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, out := runMain(append([]string{"questionnaire", "check"}, test.args...)...)
			assert.Equal(t, code, test.code)
			assert.Assert(t, strings.Contains(out, test.out), out)
		})
	}
}

func TestQuestionnaireGenerate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bundle.json")
	code, _ := runMain("questionnaire", "generate", exampleFile, "--out", file)
	assert.Equal(t, code, ExitOK)
	written, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, printed := runMain("questionnaire", "generate", exampleFile)
	assert.Equal(t, printed, string(written))
	var bundle configuration.Bundle
	assert.NilError(t, json.Unmarshal(written, &bundle))
	assert.Equal(t, bundle.Teams[0].Name, "blechklang")
}

func TestQuestionnaireDigest(t *testing.T) {
	digest := func(key string) (int, string) {
		var out, errs bytes.Buffer
		streams := Streams{In: strings.NewReader(key), Out: &out, Err: &errs}
		return Main(t.Context(), []string{"questionnaire", "digest"}, streams), out.String()
	}
	// The digest of "abc" is a published test vector of SHA-256.
	const want = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n"
	for _, key := range []string{"abc", "abc\n", "abc\r\n"} {
		code, out := digest(key)
		assert.Equal(t, code, ExitOK)
		assert.Equal(t, out, want)
	}
	for _, key := range []string{"", "\n", "a b", "abc\n\n", strings.Repeat("x", 4097)} {
		code, out := digest(key)
		assert.Equal(t, code, ExitUsage, "%q", key)
		assert.Equal(t, out, "")
	}
}
