package engine

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const charactersPerToken = 4

// cache remembers the prefixes of prompts, the least recently used leaving first.
type cache struct {
	mu       sync.Mutex
	prefixes *simplelru.LRU[uint64, struct{}]
}

func newCache(prefixes int) (*cache, error) {
	lru, err := simplelru.NewLRU[uint64, struct{}](prefixes, nil)
	if err != nil {
		return nil, err
	}

	return &cache{prefixes: lru}, nil
}

// lookup returns the tokens of the longest cached prefix and of the whole prompt, and caches every prefix.
func (c *cache) lookup(messages []message) (cached, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role)
		_, _ = d.WriteString(m.Content)
		total += 1 + len(m.Content)/charactersPerToken
		prefix := d.Sum64()
		if _, ok := c.prefixes.Get(prefix); ok {
			cached = total
		}
		c.prefixes.Add(prefix, struct{}{})
	}

	return cached, total
}
