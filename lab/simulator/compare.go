package simulator

import (
	"time"
)

// Policy is a named scheduling policy. With newPolicy unset it is the better of the two oracle schedulers.
type Policy struct {
	Name      string
	newPolicy func(*simulation) policy
	// triesSplits makes Simulate try several splits of the engines between prefill and decode and keep the best.
	triesSplits bool
}

// Policies returns the policies to compare. The last one is an upper bound that no real scheduler can reach: it uses the
// length of each output in advance.
func Policies() []Policy {
	return []Policy{
		{Name: "naive", newPolicy: Naive},
		{Name: "full holds", newPolicy: FullReservation},
		{Name: "home, fixed split", newPolicy: OwnerFixedSplit},
		{Name: "home, best fixed split", newPolicy: OwnerFixedSplit, triesSplits: true},
		{Name: "home", newPolicy: Owner},
		{Name: OraclePolicy, triesSplits: true},
	}
}

// OraclePolicy is the name of the policy that gives the upper bound.
const OraclePolicy = "all-knowing"

// splitSteps is the approximate number of splits that are tried when there are many engines.
const splitSteps = 12

// Simulate runs a scenario and returns the result with the highest worth among the variants of the policy.
func (p Policy) Simulate(s Scenario) Result {
	var best Result
	constructors := []func(*simulation) policy{p.newPolicy}
	if p.newPolicy == nil {
		constructors = []func(*simulation) policy{LeastTimeFirst, SmallestFirst}
	}
	for _, newPolicy := range constructors {
		for _, prefillEngines := range p.prefillEngineCounts(s) {
			split := s
			split.PrefillEngines, split.DecodeEngines = prefillEngines, s.PrefillEngines+s.DecodeEngines-prefillEngines
			if r := Simulate(split, newPolicy); r.Worth() > best.Worth() || best.Requests == 0 {
				best = r
			}
		}
	}
	return best
}

func (p Policy) prefillEngineCounts(s Scenario) []int {
	if !p.triesSplits {
		return []int{s.PrefillEngines}
	}
	all := s.PrefillEngines + s.DecodeEngines
	var list []int
	for n := 1; n <= all*2/3; n += max(1, all/splitSteps) {
		list = append(list, n)
	}
	return list
}

// Capacity returns the requests per second that the engines can serve with the best split, for requests of mean size.
func (s Scenario) Capacity() float64 {
	best := 0.0
	all := s.PrefillEngines + s.DecodeEngines
	for prefillEngines := 1; prefillEngines < all; prefillEngines++ {
		prefill := float64(prefillEngines) * s.Model.PrefillSpeed / s.Prompt
		fit := min(float64(s.Model.Slots), float64(s.Model.Memory)/(s.Prompt+s.Output/2))
		step := s.Model.StepTime.Seconds() + fit*s.Model.SlotTime.Seconds()
		best = max(best, min(prefill, float64(all-prefillEngines)*fit/(s.Output*step)))
	}
	return best
}

// standardModel runs out of memory before it runs out of slots.
var standardModel = Model{
	Slots: 64, Memory: 100_000, Stride: 64, StepTime: 600 * time.Microsecond, SlotTime: 20 * time.Microsecond,
	PrefillSpeed: 50_000, SwitchTime: 6 * time.Second, HoldTime: 2 * time.Second,
}

func standardScenario(name string, load float64) Scenario {
	s := Scenario{
		Name: name, Length: 40 * time.Second, Model: standardModel, PrefillEngines: 3, DecodeEngines: 6, DataCentres: 3, Prompt: 5000, Output: 2000,
		HintSpread: 0.4, MaxOutput: 8000, FirstEventTarget: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond,
		Deadline: 14 * time.Second, HopLatency: 2 * time.Millisecond, Seed: 7,
	}
	s.Rate = load * s.Capacity()
	return s
}

// Scenarios returns the scenarios to compare, each with the load that a design decision is about.
func Scenarios() []Scenario {
	bursts := standardScenario("bursts of 2.3", 0.6)
	bursts.Bursts = []Burst{{From: 10 * time.Second, To: 14 * time.Second, Factor: 2.3 / 0.6}, {From: 24 * time.Second, To: 28 * time.Second, Factor: 2.3 / 0.6}}
	lost := standardScenario("readers lost at 0.9", 0.9)
	lost.Faults = []Fault{{At: 12 * time.Second, Engine: 0}, {At: 13 * time.Second, Engine: 1}}
	slow := standardScenario("slow engine at 0.9", 0.9)
	slow.Faults = []Fault{{At: 10 * time.Second, To: 25 * time.Second, Engine: 5, Slowdown: 4}}
	prompts := standardScenario("long prompts", 1)
	prompts.Prompt, prompts.Output = 12_000, 400
	prompts.Rate = prompts.Capacity()
	large := standardScenario("44 engines, bursts of 2.3", 0.6)
	large.PrefillEngines, large.DecodeEngines = 15, 29
	large.Rate = 0.6 * large.Capacity()
	large.Length, large.Bursts = 20*time.Second, bursts.Bursts[:1]
	return []Scenario{standardScenario("0.5 of capacity", 0.5), standardScenario("1.0 of capacity", 1), standardScenario("2.3 of capacity", 2.3), bursts, lost, slow, prompts, large}
}
