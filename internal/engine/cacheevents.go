package engine

// CacheEventKind says what happened to blocks of a prefix cache.
type CacheEventKind string

// The kinds of prefix cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Kind CacheEventKind
	// Blocks are hashes as package prefix computes them.
	Blocks []uint64
}

// CacheEvents are consecutive events. They may arrive late and with gaps.
type CacheEvents struct {
	// Next is the sequence number to request next.
	Next   uint64
	Events []CacheEvent
	// Gap says that events are missing.
	Gap bool
}
