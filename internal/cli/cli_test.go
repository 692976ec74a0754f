package cli

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/version"
)

func runMain(args ...string) (code int, stdout string) {
	var out, errs bytes.Buffer
	code = Main(context.Background(), args, Streams{Out: &out, Err: &errs})
	return code, out.String()
}

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		code int
	}{
		{"success", []string{"version"}, ExitOK},
		{"help", []string{"version", "--help"}, ExitOK},
		{"unknown command", []string{"nonsense"}, ExitUsage},
		{"unknown flag", []string{"version", "--nonsense"}, ExitUsage},
		{"left-over argument", []string{"version", "extra"}, ExitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, _ := runMain(test.args...)
			assert.Equal(t, code, test.code)
		})
	}
}

func TestVersionIsPrinted(t *testing.T) {
	_, stdout := runMain("version")
	assert.Equal(t, stdout, version.Version+"\n")
}
