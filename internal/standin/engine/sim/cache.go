package sim

import "container/list"

// block is a cached block of prompt tokens. A block with refs > 0 belongs to a
// running sequence and is not in the LRU list.
type block struct {
	hash uint64
	refs int
	elem *list.Element
}

// cache holds prompt blocks that sequences share and counts the private blocks
// of running sequences. Invariant: len(blocks) + private <= capacity.
type cache struct {
	capacity int
	private  int
	blocks   map[uint64]*block
	lru      *list.List // of *block; the front is evicted first
	changed  func(kind EventKind, hash uint64)
}

func newCache(capacity int, changed func(EventKind, uint64)) *cache {
	return &cache{
		capacity: capacity,
		blocks:   make(map[uint64]*block),
		lru:      list.New(),
		changed:  changed,
	}
}

func (c *cache) used() int { return len(c.blocks) + c.private }

// match returns how many leading hashes are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin protects cached blocks from eviction.
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

// unpin releases blocks from the last to the first, so that the end of a prefix
// is evicted before its start.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.elem = c.lru.PushBack(b)
		}
	}
}

// reserve takes n private blocks and evicts unused ones for them. It changes
// nothing and returns false if they cannot fit.
func (c *cache) reserve(n int) bool {
	if c.capacity-c.used()+c.lru.Len() < n {
		return false
	}
	for c.capacity-c.used() < n {
		c.evict()
	}
	c.private += n
	return true
}

func (c *cache) evict() {
	front := c.lru.Front()
	b := front.Value.(*block)
	c.lru.Remove(front)
	delete(c.blocks, b.hash)
	c.changed(EventRemoved, b.hash)
}

// share turns a private block into a cached one that its sequence still pins.
// If another sequence has cached the same block, the private copy is freed.
func (c *cache) share(hash uint64) {
	c.private--
	if b := c.blocks[hash]; b != nil {
		c.pin([]uint64{hash})
		return
	}
	c.blocks[hash] = &block{hash: hash, refs: 1}
	c.changed(EventStored, hash)
}

func (c *cache) release(private int) { c.private -= private }

// adopt stores an imported block without a user. It returns false if no memory
// can be freed.
func (c *cache) adopt(hash uint64) bool {
	if c.blocks[hash] != nil {
		return true
	}
	if !c.reserve(1) {
		return false
	}
	c.share(hash)
	c.unpin([]uint64{hash})
	return true
}
