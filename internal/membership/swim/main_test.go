package swim

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "25"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
