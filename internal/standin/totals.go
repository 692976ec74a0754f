package standin

import platform "github.com/ospreyshed/ospreyshed/internal/platform/vmlist"

// Totals are sums over all engines of a Platform.
type Totals struct {
	TokensPrefilled     int `json:"tokens_prefilled"`
	TokensCached        int `json:"tokens_cached"`
	PrefillTokensWasted int `json:"prefill_tokens_wasted"`
	TokensDecoded       int `json:"tokens_decoded"`
	TokensThrownAway    int `json:"tokens_thrown_away"`
	AnswersFinished     int `json:"answers_finished"`
	PiecesHeld          int `json:"pieces_held"`
	AfterLeaving        int `json:"after_leaving"`
}

// Totals returns the sums of the engines' counts.
func (p *Platform) Totals() Totals {
	var t Totals
	for _, server := range p.Engines {
		c := server.Counts()
		t.TokensPrefilled += c.TokensPrefilled
		t.TokensCached += c.TokensCached
		t.PrefillTokensWasted += c.PrefillTokensWasted
		t.TokensDecoded += c.TokensDecoded
		t.TokensThrownAway += c.TokensThrownAway
		t.AnswersFinished += c.AnswersFinished
		t.PiecesHeld += c.PiecesHeld
		t.AfterLeaving += c.AfterLeaving
	}
	return t
}

// Executions returns the number of executions of calls with an idempotency key,
// summed over all plain services.
func (p *Platform) Executions(key string) int {
	executions := 0
	for _, server := range p.Plain {
		executions += server.Counts().ByKey[key]
	}
	return executions
}

// Leave sets the fault Leaving of an engine or plain service, which announces it
// in responses, and marks its VM as leaving in the list of VMs, which shows it
// after the list's lag.
func (p *Platform) Leave(name string) {
	if server, ok := p.Engines[name]; ok {
		faults := server.Faults()
		faults.Leaving = true
		server.SetFaults(faults)
	}
	if server, ok := p.Plain[name]; ok {
		faults := server.Faults()
		faults.Leaving = true
		server.SetFaults(faults)
	}
	p.VMList.SetState(name, platform.Leaving)
}
