package modelserver

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
)

// prefixBlockTokens is the number of tokens by which cached prefixes grow.
const prefixBlockTokens = 64

// prefixCache is an LRU cache of prompt prefixes in blocks of prefixBlockTokens words.
type prefixCache struct {
	maxEntries int
	mu         sync.Mutex
	entries    map[string]*list.Element
	order      *list.List
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxEntries: tokens / prefixBlockTokens, entries: make(map[string]*list.Element), order: list.New()}
}

// prefixKeys returns the cache keys of the prefixes of prompt that consist of whole blocks, shortest first.
func prefixKeys(prompt string) []string {
	words := strings.Fields(prompt)
	var keys []string
	hash := ""
	for i := prefixBlockTokens; i <= len(words); i += prefixBlockTokens {
		hash = TextOf(hash + strings.Join(words[i-prefixBlockTokens:i], " ")).Token(0)
		keys = append(keys, hash+strconv.Itoa(i))
	}
	return keys
}

// match returns the number of tokens in the longest cached prefix and marks its blocks as used.
func (p *prefixCache) match(keys []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, key := range keys {
		e, ok := p.entries[key]
		if !ok {
			break
		}
		p.order.MoveToFront(e)
		n += prefixBlockTokens
	}
	return n
}

func (p *prefixCache) add(keys []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		if _, ok := p.entries[key]; !ok {
			p.entries[key] = p.order.PushFront(key)
		}
	}
	for p.order.Len() > p.maxEntries {
		oldest := p.order.Back()
		delete(p.entries, oldest.Value.(string))
		p.order.Remove(oldest)
	}
}
