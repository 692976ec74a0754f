package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event of a model's answer, or the problem that ends
// it early.
type event struct {
	Type    string `json:"type"`
	Detail  string `json:"detail"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// readStream reads server-sent events up to the terminal one.
func (a *Answer) readStream(body io.Reader, started time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	var text strings.Builder
	finished := false
	last := started
	for lines.Scan() {
		payload, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if payload == "[DONE]" {
			a.Text = text.String()
			if !finished {
				return CutShort.New("%s has no finish reason", a.RequestID)
			}
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(payload), &e); err != nil {
			continue
		}
		if len(e.Choices) != 1 {
			a.Problem, a.Detail = e.Type, e.Detail
			continue
		}
		now := time.Now()
		a.recordToken(now, started, last)
		last = now
		text.WriteString(e.Choices[0].Text)
		text.WriteString(e.Choices[0].Delta.Content)
		finished = finished || e.Choices[0].FinishReason != nil
	}
	a.Text = text.String()
	return CutShort.New("%s has no terminal event", a.RequestID)
}

// recordToken records the arrival time of a token.
func (a *Answer) recordToken(now, started, last time.Time) {
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(started)
	} else {
		a.Gaps = append(a.Gaps, now.Sub(last))
	}
	a.Tokens++
}
