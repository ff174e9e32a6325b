package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the number of prompt bytes covered by one cache block.
const blockBytes = blockTokens * bytesPerToken

// prefixCache caches prompt blocks and evicts the least recently used ones.
type prefixCache struct {
	capacity  int
	recency   *list.List
	blocks    map[uint64]*list.Element
	onStored  func(block uint64)
	onEvicted func(block uint64)
}

func newPrefixCache(capacity int, onStored, onEvicted func(uint64)) *prefixCache {
	return &prefixCache{
		capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element),
		onStored: onStored, onEvicted: onEvicted,
	}
}

// hashBlocks returns one hash per full block, covering the block and all blocks before it.
func hashBlocks(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		_, _ = digest.WriteString(prompt[at : at+blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// hitTokens returns the number of tokens in the longest cached prefix of the prompt.
func (c *prefixCache) hitTokens(prompt string) int {
	tokens := 0
	for _, block := range hashBlocks(prompt) {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.recency.MoveToFront(element)
		tokens += blockTokens
	}
	return tokens
}

// store adds all full blocks of a prompt. It is called when the prompt's prefill completes.
func (c *prefixCache) store(prompt string) {
	for _, block := range hashBlocks(prompt) {
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		c.onStored(block)
		c.evict()
	}
}

func (c *prefixCache) evict() {
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		block, _ := c.recency.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.onEvicted(block)
	}
}

func (c *prefixCache) clear() {
	for c.recency.Len() > 0 {
		block, _ := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, block)
		c.onEvicted(block)
	}
}
