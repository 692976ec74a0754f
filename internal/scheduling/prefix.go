package scheduling

import "container/list"

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Kind   CacheEventKind
	Blocks []uint64
}

// prefixIndexLimit bounds the blocks in the index.
const prefixIndexLimit = 1 << 16

// prefixIndex maps prefix blocks to the engines that probably cache them. It is
// only a hint: a wrong entry costs prefill time but does not affect
// correctness. The least recently used blocks are evicted first.
type prefixIndex struct {
	limit   int
	entries map[uint64]*list.Element
	recent  *list.List
}

// prefixEntry is the set of engines that cache a block. The set is small enough
// for a slice.
type prefixEntry struct {
	block   uint64
	engines []string
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, entries: make(map[uint64]*list.Element), recent: list.New()}
}

// store records that an engine caches the blocks.
func (x *prefixIndex) store(engine string, blocks []uint64) {
	for _, block := range blocks {
		x.entry(block).add(engine)
	}
	for len(x.entries) > x.limit {
		x.drop(x.recent.Back())
	}
}

func (x *prefixIndex) entry(block uint64) *prefixEntry {
	if e, ok := x.entries[block]; ok {
		x.recent.MoveToFront(e)
		return e.Value.(*prefixEntry)
	}
	entry := &prefixEntry{block: block}
	x.entries[block] = x.recent.PushFront(entry)
	return entry
}

func (x *prefixIndex) drop(e *list.Element) {
	delete(x.entries, e.Value.(*prefixEntry).block)
	x.recent.Remove(e)
}

// removeBlocks records that an engine evicted the blocks.
func (x *prefixIndex) removeBlocks(engine string, blocks []uint64) {
	for _, block := range blocks {
		if e, ok := x.entries[block]; ok {
			x.removeFrom(e, engine)
		}
	}
}

// clear removes all blocks of an engine.
func (x *prefixIndex) clear(engine string) {
	for e := x.recent.Front(); e != nil; {
		next := e.Next()
		x.removeFrom(e, engine)
		e = next
	}
}

func (x *prefixIndex) removeFrom(e *list.Element, engine string) {
	entry := e.Value.(*prefixEntry)
	entry.remove(engine)
	if len(entry.engines) == 0 {
		x.drop(e)
	}
}

// cachedBlocks returns how many leading blocks an engine caches. Only an
// unbroken chain from the first block counts.
func (x *prefixIndex) cachedBlocks(engine string, blocks []uint64) int {
	for i, block := range blocks {
		e, ok := x.entries[block]
		if !ok || !e.Value.(*prefixEntry).has(engine) {
			return i
		}
	}
	return len(blocks)
}

// known reports whether any engine caches the first block. It avoids the lookup
// per engine for prompts that no engine has cached.
func (x *prefixIndex) known(blocks []uint64) bool {
	return len(blocks) > 0 && x.entries[blocks[0]] != nil
}

func (e *prefixEntry) has(engine string) bool {
	for _, name := range e.engines {
		if name == engine {
			return true
		}
	}
	return false
}

func (e *prefixEntry) add(engine string) {
	if !e.has(engine) {
		e.engines = append(e.engines, engine)
	}
}

func (e *prefixEntry) remove(engine string) {
	for i, name := range e.engines {
		if name == engine {
			e.engines = append(e.engines[:i], e.engines[i+1:]...)
			return
		}
	}
}
