package generator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// timeWeight is the weight of one request in the learned times.
	timeWeight = 0.05
	// firstHandover is the time from the end of a prefill to the first token before it is learned.
	firstHandover = 20 * time.Millisecond
	// maxPrefixes is the number of answers after which the belief about caches starts anew.
	maxPrefixes = 10000
	// firstStep is the time per output token before it is learned.
	firstStep = 10 * time.Millisecond
)

// cachedPrefix names a prefix at an engine.
type cachedPrefix struct {
	engine string
	prefix uint64
}

func hashPrefix(c cachedPrefix) uint64 { return c.prefix ^ xxhash.Sum64String(c.engine) }

// times are learned from the requests that this host has served.
type times struct {
	mu       sync.Mutex
	handover time.Duration
	step     time.Duration
}

func learn(old, seen time.Duration) time.Duration {
	return old + time.Duration(timeWeight*float64(seen-old))
}

func (g *Generator) learnHandover(d time.Duration) {
	g.times.mu.Lock()
	defer g.times.mu.Unlock()
	g.times.handover = learn(g.times.handover, d)
}

func (g *Generator) learnStep(d time.Duration) {
	g.times.mu.Lock()
	defer g.times.mu.Unlock()
	g.times.step = learn(g.times.step, d)
}

// handover is the time from the end of a prefill to the first token.
func (g *Generator) handover() time.Duration {
	g.times.mu.Lock()
	defer g.times.mu.Unlock()
	return g.times.handover
}

// step is the time per output token.
func (g *Generator) step() time.Duration {
	g.times.mu.Lock()
	defer g.times.mu.Unlock()
	return g.times.step
}

// learnPrefix notes how many tokens of a prefix an engine has cached. Once maxPrefixes are known, all are forgotten.
func (g *Generator) learnPrefix(engine string, prefix uint64, tokens int) {
	if g.learned.Add(1)%maxPrefixes == 0 {
		g.prefixes.Clear()
	}
	g.prefixes.Set(cachedPrefix{engine: engine, prefix: prefix}, tokens)
}
