package engine

import "container/list"

// prefixCache is an LRU cache of block hashes.
type prefixCache struct {
	limit  int // blocks
	blocks map[string]*list.Element
	// lru lists the hashes, the most recently used first.
	lru *list.List
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[string]*list.Element), lru: list.New()}
}

// match returns the number of leading hashes that are cached and marks them
// as recently used.
func (c *prefixCache) match(hashes []string) int {
	matched := 0
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		matched++
	}
	return matched
}

// store adds hashes. It returns those that are new and those that were evicted to
// make room.
func (c *prefixCache) store(hashes []string) (stored, removed []string) {
	for _, hash := range hashes {
		if element, ok := c.blocks[hash]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.lru.PushFront(hash)
		stored = append(stored, hash)
	}
	for c.lru.Len() > c.limit {
		removed = append(removed, c.evictOldest())
	}
	return stored, removed
}

func (c *prefixCache) evictOldest() string {
	hash, _ := c.lru.Remove(c.lru.Back()).(string)
	delete(c.blocks, hash)
	return hash
}

func (c *prefixCache) clear() {
	clear(c.blocks)
	c.lru.Init()
}
