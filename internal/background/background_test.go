package background

import (
	"context"
	"testing"
	"time"

	"go.uber.org/fx/fxtest"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRunsFromStartToStop(t *testing.T) {
	lifecycle := fxtest.NewLifecycle(t)
	started, ended := make(chan struct{}), false
	Run(lifecycle, func(ctx context.Context) {
		close(started)
		Pause(ctx, time.Hour)
		ended = true
	})
	assert.NilError(t, lifecycle.Start(t.Context()))
	<-started
	assert.NilError(t, lifecycle.Stop(t.Context()))
	assert.Assert(t, ended)
}
