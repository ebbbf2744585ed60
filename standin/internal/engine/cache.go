package engine

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const bytesPerToken = 4

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	mu       sync.Mutex
	prefixes *simplelru.LRU[uint64, struct{}]
}

func newPrefixCache(capacity int) (*prefixCache, error) {
	lru, err := simplelru.NewLRU[uint64, struct{}](capacity, nil)
	if err != nil {
		return nil, err
	}

	return &prefixCache{prefixes: lru}, nil
}

// matchAndStore returns the token counts of the longest cached prefix and of the whole prompt, and caches every prefix.
func (c *prefixCache) matchAndStore(messages []message) (cached, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.New()
	for _, m := range messages {
		_, _ = hash.WriteString(m.Role)
		_, _ = hash.WriteString(m.Content)
		total += 1 + len(m.Content)/bytesPerToken
		prefix := hash.Sum64()
		if _, ok := c.prefixes.Get(prefix); ok {
			cached = total
		}
		c.prefixes.Add(prefix, struct{}{})
	}

	return cached, total
}
