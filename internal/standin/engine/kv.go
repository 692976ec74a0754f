package engine

import "time"

// keptKV is the KV cache of a finished prefill that is kept for export.
type keptKV struct {
	attempt *attempt
	// blocks are the block ids; the first one identifies the KV cache.
	blocks []uint64
	expiry *time.Timer
}

// keep ends a running prefill and keeps its KV cache for export until the retention
// expires.
func (e *Engine) keep(a *attempt) *keptKV {
	kv := &keptKV{attempt: a, blocks: make([]uint64, max(a.pieces, 1))}
	for i := range kv.blocks {
		kv.blocks[i] = e.nextBlock
		e.nextBlock++
	}
	e.kept[kv.blocks[0]] = kv
	a.kept = kv
	a.stage = stageKept
	e.prefilling = nil
	kv.expiry = time.AfterFunc(e.options.KVRetention.D(), func() { e.end(a, causeEvicted) })
	e.dispatch()
	e.recordLoad()
	return kv
}

// dropKept removes a kept KV cache and counts it as wasted unless it was exported.
func (e *Engine) dropKept(a *attempt) {
	a.kept.expiry.Stop()
	delete(e.kept, a.kept.blocks[0])
	if a.cause != causeExported {
		e.counts.PrefillTokensWasted += a.computedTokens
	}
}

// export removes a kept KV cache for its transfer to a decode engine and frees its
// memory. It returns false if there is no such KV cache for the prompt.
func (e *Engine) export(block, promptHash uint64) (kvExport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kv, ok := e.kept[block]
	if !ok || kv.attempt.promptHash != promptHash {
		return kvExport{}, false
	}
	a := kv.attempt
	e.release(a, causeExported)
	return kvExport{Tokens: a.promptTokens, Computed: a.computedTokens}, true
}
