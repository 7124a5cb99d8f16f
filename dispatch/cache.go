package dispatch

import (
	"container/list"

	"github.com/mangostage/mangostage/catalog"
)

// prefixCache is what an engine is believed to keep of prompts: the parts that
// were sent to it, the least recently used yielding first.
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

// hit is the number of tokens at the start of the prompt that are cached. A
// part counts only if all parts before it are cached too.
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

// touch notes that an engine reads a prompt.
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
