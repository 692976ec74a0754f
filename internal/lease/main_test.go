package lease

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// scheduleSeed fixes the schedules that rapid draws.
const scheduleSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", scheduleSeed); err != nil {
		os.Exit(2)
	}
	goleak.VerifyTestMain(m)
}

// setChecks sets the number of schedules that rapid draws.
func setChecks(t *testing.T, checks string) {
	t.Helper()
	if err := flag.Set("rapid.checks", checks); err != nil {
		t.Fatal(err)
	}
}
