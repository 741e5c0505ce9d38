package introspect

import (
	"crypto/sha256"
	"sync"
	"time"
)

// mostCached bounds the cache: some tens of thousands of tokens would not fit an ingress's memory.
const mostCached = 4096

// cache keeps answers on active tokens for a while, and never past the tokens' own end. It knows tokens by
// their hashes alone. An answer may depend on who asks, so each client has its own.
type cache struct {
	keep time.Duration
	mu   sync.Mutex
	all  map[cacheKey]cached
}

type cacheKey [sha256.Size]byte

type cached struct {
	text []byte
	till time.Duration
}

func newCache(keep time.Duration) *cache { return &cache{keep: keep, all: map[cacheKey]cached{}} }

func keyOf(client, token string) cacheKey { return sha256.Sum256([]byte(client + "\x00" + token)) }

// get returns the answer on an active token, if one is kept.
func (c *cache) get(client, token string, now time.Duration) []byte {
	if c.keep <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keyOf(client, token)
	e, ok := c.all[key]
	if ok && e.till <= now {
		delete(c.all, key)
		return nil
	}
	return e.text
}

// put keeps an answer, unless the service told no end of the token or it is over.
func (c *cache) put(client, token string, t *Token, now time.Duration) {
	if c.keep <= 0 || !t.Active || t.Expires <= now {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, e := range c.all {
		if len(c.all) < mostCached {
			break
		}
		if e.till <= now || len(c.all) >= mostCached { // any will do: the order of a map is by chance
			delete(c.all, key)
		}
	}
	c.all[keyOf(client, token)] = cached{t.Text, min(now+c.keep, t.Expires)}
}
