package inferrer

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
)

// pieceTokens is the number of tokens in one cached piece.
const pieceTokens = 64

// prefixes is a cache of prompt prefixes in pieces of some words. It drops the piece that was not used for longest.
type prefixes struct {
	limit int
	mu    sync.Mutex
	known map[string]*list.Element
	order *list.List
}

func newPrefixes(tokens int) *prefixes {
	return &prefixes{limit: tokens / pieceTokens, known: make(map[string]*list.Element), order: list.New()}
}

// pieces returns names of the prefixes of prompt that end at whole pieces.
func pieces(prompt string) []string {
	words := strings.Fields(prompt)
	var names []string
	hash := ""
	for i := pieceTokens; i <= len(words); i += pieceTokens {
		hash = TextOf(hash + strings.Join(words[i-pieceTokens:i], " ")).Token(0)
		names = append(names, hash+strconv.Itoa(i))
	}
	return names
}

// match returns the number of tokens of the longest cached prefix.
func (p *prefixes) match(names []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, name := range names {
		e, ok := p.known[name]
		if !ok {
			break
		}
		p.order.MoveToFront(e)
		n += pieceTokens
	}
	return n
}

func (p *prefixes) add(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		if _, ok := p.known[name]; !ok {
			p.known[name] = p.order.PushFront(name)
		}
	}
	for p.order.Len() > p.limit {
		oldest := p.order.Back()
		delete(p.known, oldest.Value.(string))
		p.order.Remove(oldest)
	}
}
