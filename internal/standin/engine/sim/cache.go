package sim

import "container/list"

// block is a cached block of prompt tokens. A block with refs > 0 is pinned, in
// general by running sequences, and is not in the LRU list.
type block struct {
	hash uint64
	refs int
	elem *list.Element // in the LRU list; nil while pinned
}

// cache holds the prompt blocks that sequences share, and counts the blocks that
// running sequences hold privately, for output and for prompt tokens not yet
// computed. Invariant: len(blocks) + privateBlocks <= capacity.
type cache struct {
	capacity      int
	privateBlocks int
	blocks        map[uint64]*block
	lru           *list.List // of *block; the front is evicted first
	onChange      func(kind EventKind, hash uint64)
}

func newCache(capacity int, onChange func(EventKind, uint64)) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[uint64]*block),
		lru:      list.New(),
		onChange: onChange,
	}
}

func (c *cache) used() int { return len(c.blocks) + c.privateBlocks }

// cachedPrefix returns the number of leading hashes that are cached.
func (c *cache) cachedPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin protects blocks from eviction. All of them must be cached.
func (c *cache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		if b.refs == 0 {
			c.lru.Remove(b.elem)
			b.elem = nil
		}
		b.refs++
	}
}

// unpin undoes one pin of each block, from the last to the first, so that the end
// of a prefix is evicted before its start.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.elem = c.lru.PushBack(b)
		}
	}
}

// reserve allocates n private blocks, evicting unpinned cached blocks if needed.
// It returns false and changes nothing if not enough blocks can be evicted.
func (c *cache) reserve(n int) bool {
	if c.capacity-c.used()+c.lru.Len() < n {
		return false
	}
	for c.capacity-c.used() < n {
		c.evict()
	}
	c.privateBlocks += n
	return true
}

func (c *cache) evict() {
	front := c.lru.Front()
	b := front.Value.(*block)
	c.lru.Remove(front)
	delete(c.blocks, b.hash)
	c.onChange(EventRemoved, b.hash)
}

// promote turns a private block into a cached one that is pinned once. If the
// same block is already cached, the private copy is freed and that one is pinned.
func (c *cache) promote(hash uint64) {
	c.privateBlocks--
	if b := c.blocks[hash]; b != nil {
		c.pin([]uint64{hash})
		return
	}
	c.blocks[hash] = &block{hash: hash, refs: 1}
	c.onChange(EventStored, hash)
}

func (c *cache) releasePrivate(n int) { c.privateBlocks -= n }

// insertUnpinned caches an imported block without pinning it. It returns false if
// the cache is full of pinned and private blocks.
func (c *cache) insertUnpinned(hash uint64) bool {
	if c.blocks[hash] != nil {
		return true
	}
	if !c.reserve(1) {
		return false
	}
	c.promote(hash)
	c.unpin([]uint64{hash})
	return true
}
