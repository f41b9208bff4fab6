package simulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
)

// OwnerPrefixCaching returns the policy of the owner with prefix caching, with an estimate of the engines' caches.
func OwnerPrefixCaching(s *simulation) policy {
	return newPrefixOwner(s, cachetracker.New(s.Model.Memory))
}

// OwnerPrefixOracle returns the policy of the owner with prefix caching that knows what the engines have cached: the upper
// bound for every estimate.
func OwnerPrefixOracle(s *simulation) policy { return newPrefixOwner(s, cacheOracle{s}) }

func newPrefixOwner(s *simulation, view placer.CacheView) policy {
	p := placer.New(rand.New(rand.NewPCG(s.Seed, 2)))
	p.EnablePrefixCaching(view)
	return &owner{sim: s, placer: p}
}

// cacheOracle reads the caches of the simulated engines.
type cacheOracle struct{ sim *simulation }

func (o cacheOracle) Held(in cachetracker.Incarnation, parts []cachetracker.Part) int {
	e := o.sim.engineByID[in.Engine]
	if e.cache == nil {
		return 0
	}
	return e.cache.Held(e.incarnation(), parts)
}

func (cacheOracle) Accuracy(cachetracker.Incarnation) float64                        { return 1 }
func (cacheOracle) RecordPrefill(cachetracker.Incarnation, []cachetracker.Part, int) {}
func (cacheOracle) RecordFailure(cachetracker.Incarnation, []cachetracker.Part)      {}
func (cacheOracle) RecordCheck(_ cachetracker.Incarnation, _, _ int)                 {}
func (cacheOracle) SetCapacity(int)                                                  {}
func (cacheOracle) Retain(func(engine string) bool)                                  {}

// unlimitedCache is a cache capacity in tokens that no scenario reaches.
const unlimitedCache = 1 << 40

// prefixSeeds are the seeds of each scenario with shared parts.
var prefixSeeds = []uint64{7, 8, 9, 10}

// prefixScenarios returns the loads with shared parts: those of section 6 of docs/keys-and-load.md, and prompts that share much, of
// few parts that all engines hold and of more than one engine holds.
func prefixScenarios() []Scenario {
	few := Sharing{Prefixes: 2000, Tokens: 200, CacheTokens: standardModel.Memory}
	much := Sharing{Prefixes: 4, Tokens: 2500, CacheTokens: standardModel.Memory}
	some := Sharing{Prefixes: 64, Tokens: 2500, CacheTokens: standardModel.Memory}
	unlimited, useless := few, some
	unlimited.CacheTokens, useless.CacheTokens = unlimitedCache, 0
	var list []Scenario
	for _, load := range []float64{0.6, 1, 1.6} {
		list = append(list, prefixScenario("200 of 5,200, 2,000 parts", few, 5200, load), prefixScenario("2,500 of 6,300, 4 parts", much, 6300, load),
			prefixScenario("2,500 of 6,300, 64 parts", some, 6300, load))
	}
	long := prefixScenario("200 of 5,200, 2,000 parts, unlimited caches, 160 s", unlimited, 5200, 1)
	long.Length = 160 * time.Second
	return append(list, long, prefixScenario("2,500 of 6,300, 64 parts, nothing is cached", useless, 6300, 1))
}

// prefixScenario has short outputs, so that the prefill takes up about half of the engines.
func prefixScenario(name string, sharing Sharing, prompt, load float64) Scenario {
	s := standardScenario(fmt.Sprintf("%s, load %.1f", name, load), load)
	s.Sharing, s.Prompt, s.Output = sharing, prompt, 400
	s.Rate = load * s.Capacity()
	return s
}

// PrefixRow is the sum of the results of one scenario with shared parts under one policy, over prefixSeeds.
type PrefixRow struct {
	Scenario string
	Policy   string
	Result   Result
}

// ComparePrefixCaching runs every scenario without prefix caching, with it, and with the oracle.
func ComparePrefixCaching(scenarios []Scenario) []PrefixRow {
	policies := []Policy{{Name: "off", newPolicy: Owner}, {Name: "estimate", newPolicy: OwnerPrefixCaching}, {Name: "oracle", newPolicy: OwnerPrefixOracle}}
	rows := make([]PrefixRow, len(scenarios)*len(policies))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		for j, p := range policies {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				row := PrefixRow{Scenario: s.Name, Policy: p.Name}
				for _, seed := range prefixSeeds {
					seeded := s
					seeded.Seed = seed
					row.Result.add(Simulate(seeded, p.newPolicy))
				}
				slices.Sort(row.Result.FirstEventWaits)
				rows[i*len(policies)+j] = row
			})
		}
	}
	wg.Wait()
	return rows
}

// add adds the counts of another simulation that the comparison of prefix caching uses.
func (r *Result) add(other Result) {
	r.Requests += other.Requests
	r.OnTime += other.OnTime
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Moves += other.Moves
	r.PromptTokens += other.PromptTokens
	r.CachedTokens += other.CachedTokens
	r.FirstEventWaits = append(r.FirstEventWaits, other.FirstEventWaits...)
}

// CachedShare returns the share of the prompt tokens that were not prefilled again.
func (r Result) CachedShare() float64 {
	return float64(r.CachedTokens) / float64(max(1, r.PromptTokens))
}

// firstEventWait returns the quantile (0 to 1) of the sorted times to the first event.
func (r Result) firstEventWait(quantile float64) time.Duration {
	if len(r.FirstEventWaits) == 0 {
		return 0
	}
	return r.FirstEventWaits[int(quantile*float64(len(r.FirstEventWaits)-1))]
}

// ReportPrefixCaching compares prefix caching in its scenarios and writes a Markdown table to w.
func ReportPrefixCaching(w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| scenario | prefix caching | cached | in time | late | refused | worth | first event (p50, p95) |\n|---|---|---|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, row := range ComparePrefixCaching(prefixScenarios()) {
		r := row.Result
		n := float64(max(1, r.Requests))
		if _, err := fmt.Fprintf(w, "| %s | %s | %.4f | %.3f | %.3f | %.3f | %.3f | %d, %d ms |\n", row.Scenario, row.Policy, r.CachedShare(),
			float64(r.OnTime)/n, float64(r.Late)/n, float64(r.Refused)/n, r.Worth(), r.firstEventWait(0.5).Milliseconds(), r.firstEventWait(0.95).Milliseconds()); err != nil {
			return err
		}
	}
	return nil
}
