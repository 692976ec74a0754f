package questionnaire

import (
	"time"

	"github.com/ospreyshed/ospreyshed/internal/configuration"
)

func (v *validator) validatePlainTargets(path string, c *Class) {
	t := c.Targets
	if t.FirstToken != 0 || t.BetweenTokens != 0 {
		v.Addf(path, "a plain class has a target for the whole answer only")
	}
	v.requireTarget(path+".whole_answer", t.WholeAnswer)
	v.validateDuration(path+".whole_answer", t.WholeAnswer.D(), c)
}

func (v *validator) validateModelTargets(path string, c *Class) {
	t := c.Targets
	v.requireTarget(path+".first_token", t.FirstToken)
	v.requireTarget(path+".between_tokens", t.BetweenTokens)
	notNegative(v, path+".whole_answer", t.WholeAnswer.D())
	if t.WholeAnswer > 0 && t.FirstToken > t.WholeAnswer {
		v.Addf(path+".first_token", "%s contradicts whole_answer, which is %s", t.FirstToken.D(), t.WholeAnswer.D())
	}
	if t.WholeAnswer > 0 && t.BetweenTokens > t.WholeAnswer {
		v.Addf(path+".between_tokens", "%s contradicts whole_answer, which is %s", t.BetweenTokens.D(), t.WholeAnswer.D())
	}
	if t.WholeAnswer > 0 {
		v.validateDuration(path+".whole_answer", t.WholeAnswer.D(), c)
		return
	}
	v.validateDuration(path, c.maxDuration(), c)
}

func (v *validator) requireTarget(path string, d configuration.Duration) {
	if d == 0 {
		v.Addf(path, "required")
		return
	}
	positiveDuration(v, path, d)
}

// maxDuration returns the longest time that an answer can take while it meets
// the targets for the first token and between tokens.
func (c *Class) maxDuration() time.Duration {
	return c.Targets.FirstToken.D() + c.timeAfterFirstToken(c.Targets.BetweenTokens)
}

// timeAfterFirstToken returns the time from the first to the last token of the
// longest answer.
func (c *Class) timeAfterFirstToken(interval configuration.Duration) time.Duration {
	return seconds(float64(c.MaxOutputTokens-1) * interval.D().Seconds())
}

// validateDuration checks the longest time that a request may take against the
// drain limit and, if a key is required, the key window.
func (v *validator) validateDuration(path string, longest time.Duration, c *Class) {
	times := v.q.Times
	if longest > times.DrainLimit.D() {
		v.Addf(path, "an answer may take %s, longer than times.drain_limit, which is %s; a graceful shutdown would cut it off",
			longest, times.DrainLimit.D())
	}
	if c.Key == configuration.KeyRequired && longest >= times.KeyWindow.D() {
		v.Addf(path, "an answer may take %s, not shorter than times.key_window, which is %s; its key would be forgotten meanwhile",
			longest, times.KeyWindow.D())
	}
}
