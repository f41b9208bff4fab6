package generator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smoothingFactor is the weight of a new sample in the moving averages.
	smoothingFactor = 0.05
	// initialHandover is the handover time assumed before the first sample.
	initialHandover = 20 * time.Millisecond
	// maxPrefixes is the number of recorded prefixes after which the cache estimates are cleared.
	maxPrefixes = 10000
	// initialStep is the time per output token assumed before the first sample.
	initialStep = 10 * time.Millisecond
)

// cachedPrefix identifies a prompt prefix, by its hash, in the cache of an engine.
type cachedPrefix struct {
	engine string
	prefix uint64
}

func hashPrefix(c cachedPrefix) uint64 { return c.prefix ^ xxhash.Sum64String(c.engine) }

// latencies are moving averages over the requests that this host has executed.
type latencies struct {
	mu       sync.Mutex
	handover time.Duration
	step     time.Duration
}

func smooth(average, sample time.Duration) time.Duration {
	return average + time.Duration(smoothingFactor*float64(sample-average))
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

// handover returns the average time from the end of a prefill to the first token.
func (g *Generator) handover() time.Duration {
	g.latencies.mu.Lock()
	defer g.latencies.mu.Unlock()
	return g.latencies.handover
}

// step returns the average time per output token.
func (g *Generator) step() time.Duration {
	g.latencies.mu.Lock()
	defer g.latencies.mu.Unlock()
	return g.latencies.step
}

// recordPrefix stores how many tokens of a prefix an engine has cached. It clears all estimates every maxPrefixes calls
// to bound their number.
func (g *Generator) recordPrefix(engine string, prefix uint64, tokens int) {
	if g.prefixRecords.Add(1)%maxPrefixes == 0 {
		g.prefixes.Clear()
	}
	g.prefixes.Set(cachedPrefix{engine: engine, prefix: prefix}, tokens)
}
