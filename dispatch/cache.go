package dispatch

import (
	"container/list"

	"github.com/mangostage/mangostage/catalog"
)

// prefixCache estimates which parts of prompts an engine has cached: those that
// were sent to it, in LRU order.
type prefixCache struct {
	capacity int
	tokens   int
	parts    map[string]*list.Element
	order    *list.List
}

type cachedPart struct {
	id     string
	tokens int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, parts: make(map[string]*list.Element), order: list.New()}
}

// hit returns the number of tokens at the start of the prompt that are cached. A
// part counts only if all parts before it are cached as well.
func (c *prefixCache) hit(prefix []catalog.PrefixPart) int {
	n := 0
	for _, p := range prefix {
		if _, ok := c.parts[p.ID]; !ok {
			return n
		}
		n += p.Tokens
	}
	return n
}

// touch records that the engine reads a prompt, and evicts the least recently used
// parts beyond the capacity.
func (c *prefixCache) touch(prefix []catalog.PrefixPart) {
	for _, p := range prefix {
		if e, ok := c.parts[p.ID]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(&cachedPart{id: p.ID, tokens: p.Tokens})
		c.tokens += p.Tokens
	}
	for c.tokens > c.capacity && c.order.Len() > 0 {
		last := c.order.Back()
		part := last.Value.(*cachedPart)
		c.order.Remove(last)
		delete(c.parts, part.id)
		c.tokens -= part.tokens
	}
}
