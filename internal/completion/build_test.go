package completion_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ospreyshed/ospreyshed/internal/completion"
	"github.com/ospreyshed/ospreyshed/internal/scheduling"
	standin "github.com/ospreyshed/ospreyshed/internal/standin/engine"
)

var twoBuilds = map[string]string{"d1": "v1", "d2": "v2"}

func unchanged(r completion.Reserver) completion.Reserver { return r }

// recorder records the builds that demands name.
type recorder struct {
	completion.Reserver
	builds []string
}

func (r *recorder) Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	r.builds = append(r.builds, d.Build)
	return r.Reserver.Reserve(ctx, d)
}

// buildBlind reserves from an owner of a release that does not know of builds.
type buildBlind struct{ completion.Reserver }

func (r buildBlind) Reserve(ctx context.Context, d scheduling.Demand) (scheduling.Grant, error) {
	d.Build = ""
	return r.Reserver.Reserve(ctx, d)
}

// crashOnce crashes the engine that decodes when the caller has half of the answer,
// and returns its name and that of the other one.
func crashOnce(p *pool, sink *textSink, faults standin.Faults) (began, other *string) {
	began, other = new(string), new(string)
	sink.onToken = func(n int) error {
		if n != maxTokens/2 {
			return nil
		}
		*began, *other = "d1", "d2"
		if p.engines["d2"].Counts().Active > 0 {
			*began, *other = "d2", "d1"
		}
		p.engines[*began].SetFaults(faults)
		p.engines[*began].Crash()
		return nil
	}
	return began, other
}

// What engines of two builds write does not fit together in one answer.
func TestAnswerGoesOnAtItsBuildOnly(t *testing.T) {
	for name, reserver := range map[string]func(completion.Reserver) completion.Reserver{
		"owner of this release":        unchanged,
		"owner that ignores the build": func(r completion.Reserver) completion.Reserver { return buildBlind{r} },
	} {
		t.Run(name, func(t *testing.T) {
			p := startPoolOfBuilds(t, twoBuilds, reserver)
			var got textSink
			began, other := crashOnce(p, &got, standin.Faults{})
			_, err := p.runner.Run(t.Context(), p.request("crash"), &got)
			assert.NilError(t, err)
			assert.Equal(t, got.all.String(), wholeAnswer("crash"))
			assert.Equal(t, len(p.engines[*other].Counts().Executions), 0, "the answer of %s went on at %s", *began, *other)
			p.awaitNothingHeld(t)
		})
	}
}

func TestAnswerEndsWithoutAnEngineOfItsBuild(t *testing.T) {
	p := startPoolOfBuilds(t, twoBuilds, unchanged)
	var got textSink
	_, other := crashOnce(p, &got, standin.Faults{Down: true})
	defer p.setFaults("d", standin.Faults{})
	_, err := p.runner.Run(t.Context(), p.request("down"), &got)
	var interrupted *completion.InterruptedError
	assert.Assert(t, errors.As(err, &interrupted), "%v", err)
	// Tokens that the engine sent before its crash may still arrive.
	assert.Assert(t, interrupted.Delivered >= maxTokens/2 && interrupted.Delivered < maxTokens, "%d tokens", interrupted.Delivered)
	assert.Assert(t, strings.HasPrefix(wholeAnswer("down"), got.all.String()), got.all.String())
	assert.Equal(t, len(p.engines[*other].Counts().Executions), 0)
}

func TestDemandNamesTheBuildThatBeganTheAnswer(t *testing.T) {
	seen := &recorder{}
	p := startPoolOfBuilds(t, twoBuilds, func(r completion.Reserver) completion.Reserver {
		seen.Reserver = r
		return seen
	})
	var got textSink
	began, _ := crashOnce(p, &got, standin.Faults{})
	_, err := p.runner.Run(t.Context(), p.request("crash"), &got)
	assert.NilError(t, err)
	assert.Assert(t, len(seen.builds) > 1)
	for i, build := range seen.builds {
		want := twoBuilds[*began]
		if i == 0 {
			want = ""
		}
		assert.Equal(t, build, want, "attempt %d", i+1)
	}
}

// Before its first token an answer belongs to no build.
func TestAnswerWithoutATokenMayBeginAtAnotherBuild(t *testing.T) {
	p := startPoolOfBuilds(t, twoBuilds, unchanged)
	p.setFaults("d1", standin.Faults{Down: true})
	defer p.setFaults("d", standin.Faults{})
	var got textSink
	_, err := p.runner.Run(t.Context(), p.request("first"), &got)
	assert.NilError(t, err)
	_, err = p.runner.Run(t.Context(), p.request("second"), &got)
	assert.NilError(t, err)
}
