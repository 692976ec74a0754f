package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tokenLetters is the number of letters of a token; a space follows them.
const tokenLetters = 6

// Answer is the complete answer to a prompt. It is a function of the prompt, so
// that a test can check that a received answer is complete, has no duplicates and
// belongs to its request.
type Answer struct {
	seed   uint64
	length int
	// limited reports that max_tokens determined the length.
	limited bool
}

// NewAnswer returns the answer to a prompt's text (see prefix.ChatText for a chat)
// from engines whose Options.OutputTokens is outputs. A maxTokens of 0 or less
// sets no further limit.
func NewAnswer(prompt string, outputs Range, maxTokens int) Answer {
	seed := xxhash.Sum64String(prompt)
	span := max(outputs.Max-outputs.Min+1, 1)
	a := Answer{seed: seed, length: max(outputs.Min+int(seed%uint64(span)), 1)}
	if maxTokens > 0 && maxTokens < a.length {
		a.length = maxTokens
		a.limited = true
	}
	return a
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.length }

// FinishReason returns the finish reason of the last token.
func (a Answer) FinishReason() string {
	if a.limited {
		return "length"
	}
	return "stop"
}

// Token returns the text of a token.
func (a Answer) Token(index int) string {
	return string(a.AppendToken(make([]byte, 0, tokenLetters+1), index))
}

// AppendToken appends the text of a token: lower-case letters and a space.
func (a Answer) AppendToken(dst []byte, index int) []byte {
	const letters = 26
	state := mix(a.seed + uint64(index))
	for range tokenLetters {
		dst = append(dst, 'a'+byte(state%letters))
		state /= letters
	}
	return append(dst, ' ')
}

// Text returns the text of all tokens.
func (a Answer) Text() string {
	var b strings.Builder
	for i := range a.length {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// mix spreads consecutive numbers over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
