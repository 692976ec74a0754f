package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDemoAnswersEveryClass(t *testing.T) {
	code, stdout := runMain("demo", "--duration", "2s")
	assert.Equal(t, code, ExitOK, stdout)
	for _, class := range []string{"summary", "explanation", "lookup", "booking"} {
		assert.Assert(t, strings.Contains(stdout, class), stdout)
	}
	assert.Assert(t, !strings.Contains(stdout, "BROKEN"), stdout)
}

func TestDemoDurationIsLimited(t *testing.T) {
	code, _ := runMain("demo", "--duration", "1h")
	assert.Equal(t, code, ExitUsage)
}
