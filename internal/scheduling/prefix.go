package scheduling

import "container/list"

// CacheEventKind tells prefix cache events apart.
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
// a hint: a wrong entry costs prefill time and never correctness. The least
// recently used blocks are forgotten first.
type prefixIndex struct {
	limit   int
	entries map[uint64]*list.Element
	recent  *list.List
}

// prefixEntry is the set of engines that cache a block. The set is small, so
// that a slice serves.
type prefixEntry struct {
	block   uint64
	engines []string
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, entries: make(map[uint64]*list.Element), recent: list.New()}
}

// store notes that an engine caches the blocks.
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

// removeBlocks notes that an engine evicted the blocks.
func (x *prefixIndex) removeBlocks(engine string, blocks []uint64) {
	for _, block := range blocks {
		if e, ok := x.entries[block]; ok {
			x.removeFrom(e, engine)
		}
	}
}

// clear forgets all blocks of an engine.
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

// known reports whether any engine caches the first block, which spares the
// search per engine for prompts that nobody has seen.
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
