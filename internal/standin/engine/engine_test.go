package engine

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAnswerIsCompleteAndMatchesItsPrompt(t *testing.T) {
	p := startPair(t, unchanged)
	prompt := strings.Repeat("entry dossier ", 200)
	body := p.startDecode(t.Context(), "vm-1.1.1.1", prompt)
	events, done := readEvents(t, body)
	answer := NewAnswer(prompt, Range{Min: 20, Max: 40}, 100)
	assert.Assert(t, done)
	assert.Equal(t, text(events), answer.Text())
	for i, e := range events {
		assert.Equal(t, e.ID, "vm-1.1.1.1")
		assert.Equal(t, e.TokenIndex, i)
	}
	assert.Equal(t, events[len(events)-1].Choices[0].FinishReason, "stop")
	eventually(t, p.decode.Engine, "answer finished", func(c Counts) bool { return c.AnswersFinished == 1 })
	assert.Equal(t, p.decode.Counts().PiecesHeld, 0)
	assert.Equal(t, p.prefill.Counts().PiecesHeld, 0)
	assert.Equal(t, p.prefill.Counts().PrefillTokensWasted, 0)
}
