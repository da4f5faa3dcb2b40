package engine

import (
	"github.com/cespare/xxhash/v2"
)

// prefixCache knows which blocks of prompt prefixes are in a replica's KV
// cache. A block's hash covers all the blocks before it, so a prefix is cached
// up to its first missing block. Least recently used blocks are evicted.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*prefixBlock
	// newest and oldest end the list in order of use.
	newest, oldest *prefixBlock
	// onChange is told of each stored and evicted block.
	onChange func(hash uint64, stored bool)
}

type prefixBlock struct {
	hash         uint64
	newer, older *prefixBlock
}

func newPrefixCache(capacity int, onChange func(uint64, bool)) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*prefixBlock{}, onChange: onChange}
}

// match returns how many of the leading blocks are cached and marks them used.
func (c *prefixCache) match(hashes []uint64) int {
	for index, hash := range hashes {
		block, cached := c.blocks[hash]
		if !cached {
			return index
		}
		c.unlink(block)
		c.pushNewest(block)
	}
	return len(hashes)
}

// store adds the blocks. Later blocks are evicted before earlier ones of the
// same prompt, because a block without those before it is of no use.
func (c *prefixCache) store(hashes []uint64) {
	hashes = hashes[:min(len(hashes), c.capacity)]
	for index := len(hashes) - 1; index >= 0; index-- {
		hash := hashes[index]
		if block, cached := c.blocks[hash]; cached {
			c.unlink(block)
			c.pushNewest(block)
			continue
		}
		block := &prefixBlock{hash: hash}
		c.blocks[hash] = block
		c.pushNewest(block)
		c.onChange(hash, true)
	}
	for len(c.blocks) > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	block := c.oldest
	c.unlink(block)
	delete(c.blocks, block.hash)
	c.onChange(block.hash, false)
}

func (c *prefixCache) unlink(block *prefixBlock) {
	if block.newer != nil {
		block.newer.older = block.older
	} else {
		c.newest = block.older
	}
	if block.older != nil {
		block.older.newer = block.newer
	} else {
		c.oldest = block.newer
	}
	block.newer, block.older = nil, nil
}

func (c *prefixCache) pushNewest(block *prefixBlock) {
	block.older = c.newest
	if c.newest != nil {
		c.newest.newer = block
	}
	c.newest = block
	if c.oldest == nil {
		c.oldest = block
	}
}

// PrefixHashes returns the chained hashes of the full blocks of a prompt, as
// cache events name them. The seed tells adapters apart: their KV differs.
func PrefixHashes(adapter string, prompt []byte, blockTokens int) []uint64 {
	blockBytes := blockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	chained := xxhash.Sum64String(adapter)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		chained = mix(chained ^ xxhash.Sum64(prompt[start:start+blockBytes]))
		hashes = append(hashes, chained)
	}
	return hashes
}
