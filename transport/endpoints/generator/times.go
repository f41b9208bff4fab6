package generator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// timeWeight is the weight of one request in the learned times.
	smoothingFactor = 0.05
	// firstHandover is the time from the end of a prefill to the first token before it is learned.
	initialHandover = 20 * time.Millisecond
	// maxPrefixes is the number of answers after which the belief about caches starts anew.
	maxPrefixes = 10000
	// firstStep is the time per output token before it is learned.
	initialStep = 10 * time.Millisecond
)

// cachedPrefix names a prefix at an engine.
type cachedPrefix struct {
	engine string
	prefix uint64
}

func hashPrefix(c cachedPrefix) uint64 { return c.prefix ^ xxhash.Sum64String(c.engine) }

// times are learned from the requests that this host has served.
type latencies struct {
	mu       sync.Mutex
	handover time.Duration
	step     time.Duration
}

func smooth(old, seen time.Duration) time.Duration {
	return old + time.Duration(smoothingFactor*float64(seen-old))
}

func (g *Generator) recordHandover(d time.Duration) {
	g.latencies.mu.Lock()
	defer g.latencies.mu.Unlock()
	g.latencies.handover = smooth(g.latencies.handover, d)
}

func (g *Generator) recordStep(d time.Duration) {
	g.latencies.mu.Lock()
	defer g.latencies.mu.Unlock()
	g.latencies.step = smooth(g.latencies.step, d)
}

// handover is the time from the end of a prefill to the first token.
func (g *Generator) handover() time.Duration {
	g.latencies.mu.Lock()
	defer g.latencies.mu.Unlock()
	return g.latencies.handover
}

// step is the time per output token.
func (g *Generator) step() time.Duration {
	g.latencies.mu.Lock()
	defer g.latencies.mu.Unlock()
	return g.latencies.step
}

// learnPrefix notes how many tokens of a prefix an engine has cached. Once maxPrefixes are known, all are forgotten.
func (g *Generator) recordPrefix(engine string, prefix uint64, tokens int) {
	if g.prefixRecords.Add(1)%maxPrefixes == 0 {
		g.prefixes.Clear()
	}
	g.prefixes.Set(cachedPrefix{engine: engine, prefix: prefix}, tokens)
}
