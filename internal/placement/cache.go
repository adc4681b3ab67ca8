package placement

import (
	"container/list"
)

// partKeys returns the keys of the parts of a prompt in caches and lastUse. Models don't share parts.
func partKeys(r Request) []string {
	keys := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts {
		keys = append(keys, r.Model+"/"+part.ID)
	}
	return keys
}

// cache models the parts that an engine has cached, with least recently used eviction.
type cache struct {
	// maxTokens is the capacity in tokens, 0 means unlimited; tokens is the size of all cached
	// parts.
	maxTokens int
	tokens    int
	// order holds the cached parts from the least to the most recently used.
	order *list.List
	// parts maps the keys to their elements of order.
	parts map[string]*list.Element
}

// cachedPart is one part in a cache.
type cachedPart struct {
	key    string
	tokens int
}

// cachedTokens returns the number of tokens at the start of the prompt that the engine has
// cached. The keys are those of the parts.
func (c *cache) cachedTokens(keys []string, parts []Part) int {
	tokens := 0
	for i, key := range keys {
		if _, ok := c.parts[key]; !ok {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// add adds the parts as the most recently used ones, and evicts the least recently used ones
// beyond maxTokens. The keys are those of the parts.
func (c *cache) add(keys []string, parts []Part) {
	if c.parts == nil {
		c.parts, c.order = map[string]*list.Element{}, list.New()
	}
	for i, key := range keys {
		c.touch(key, parts[i].Tokens)
	}
	for c.maxTokens > 0 && c.tokens > c.maxTokens && c.order.Len() > 0 {
		c.remove(c.order.Front())
	}
}

// touch adds one part, or makes it the most recently used one.
func (c *cache) touch(key string, tokens int) {
	if e := c.parts[key]; e != nil {
		c.remove(e)
	}
	c.parts[key] = c.order.PushBack(cachedPart{key, tokens})
	c.tokens += tokens
}

// remove removes one part.
func (c *cache) remove(e *list.Element) {
	part := c.order.Remove(e).(cachedPart)
	delete(c.parts, part.key)
	c.tokens -= part.tokens
}
