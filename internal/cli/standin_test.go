package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func runStandin(t *testing.T, settings string) (code int, stdout, stderr string) {
	file := filepath.Join(t.TempDir(), "standin.json")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	// The context has already ended, so that the command stops as soon as all
	// stand-ins are started.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out, errs bytes.Buffer
	code = Main(ctx, []string{"standin", "--settings", file}, Streams{Out: &out, Err: &errs})
	return code, out.String(), errs.String()
}

func TestStandinStartsAllConfiguredStandins(t *testing.T) {
	code, stdout, _ := runStandin(t, `{
		"engines": [{"name": "decode-1", "zone": "a", "role": "decode"}],
		"plain": [{"name": "desk-1", "zone": "a"}],
	}`)
	assert.Equal(t, code, ExitOK)
	var names []string
	for line := range strings.Lines(stdout) {
		name, address, _ := strings.Cut(line, "\t")
		assert.Assert(t, strings.HasPrefix(address, "127.0.0.1:"))
		names = append(names, name)
	}
	assert.DeepEqual(t, names, []string{"log", "vm-list", "decode-1", "desk-1"})
}

func TestStandinReportsAllFindingsOfBadSettings(t *testing.T) {
	code, _, stderr := runStandin(t, "{\n\"log\": {\"burst\": -1},\n\"plain\": [{\"name\": \"desk-1\"}]\n}")
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(stderr, "standin.json:2: log.burst: must not be negative\n"), stderr)
	assert.Assert(t, strings.Contains(stderr, "standin.json:3: plain[0].zone: missing\n"), stderr)
}

func TestStandinNeedsItsSettings(t *testing.T) {
	code, _ := runMain("standin")
	assert.Equal(t, code, ExitUsage)
	code, _ = runMain("standin", "--settings", filepath.Join(t.TempDir(), "absent.json"))
	assert.Equal(t, code, ExitUsage)
}
