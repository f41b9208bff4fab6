package inferrer

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
)

// pieceTokens is the number of tokens in one cached piece.
const prefixBlockTokens = 64

// prefixes is a cache of prompt prefixes in pieces of some words. It drops the piece that was not used for longest.
type prefixCache struct {
	maxEntries int
	mu         sync.Mutex
	entries    map[string]*list.Element
	order      *list.List
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxEntries: tokens / prefixBlockTokens, entries: make(map[string]*list.Element), order: list.New()}
}

// pieces returns names of the prefixes of prompt that end at whole pieces.
func prefixKeys(prompt string) []string {
	words := strings.Fields(prompt)
	var names []string
	hash := ""
	for i := prefixBlockTokens; i <= len(words); i += prefixBlockTokens {
		hash = TextOf(hash + strings.Join(words[i-prefixBlockTokens:i], " ")).Token(0)
		names = append(names, hash+strconv.Itoa(i))
	}
	return names
}

// match returns the number of tokens of the longest cached prefix.
func (p *prefixCache) match(names []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, name := range names {
		e, ok := p.entries[name]
		if !ok {
			break
		}
		p.order.MoveToFront(e)
		n += prefixBlockTokens
	}
	return n
}

func (p *prefixCache) add(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if _, ok := p.entries[name]; !ok {
			p.entries[name] = p.order.PushFront(name)
		}
	}
	for p.order.Len() > p.maxEntries {
		oldest := p.order.Back()
		delete(p.entries, oldest.Value.(string))
		p.order.Remove(oldest)
	}
}
