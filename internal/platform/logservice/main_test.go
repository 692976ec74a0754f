package logservice_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}
