package simulator

import (
	"time"
)

// Policy is a way to decide, by name.
type Policy struct {
	Name      string
	newPolicy func(*simulation) policy
	// splits has the policy play every split of the engines and keep the best.
	triesSplits bool
}

// Policies are the ways that are compared. The last one is an upper limit: nobody knows how long outputs will be.
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

// AllKnowing is the name of the upper limit.
const OraclePolicy = "all-knowing"

// splitSteps is about how many splits of many engines are played.
const splitSteps = 12

// Play plays a day; with splits, the best of all splits.
func (p Policy) Simulate(d Scenario) Result {
	var best Result
	choices := []func(*simulation) policy{p.newPolicy}
	if p.newPolicy == nil {
		choices = []func(*simulation) policy{LeastTimeFirst, SmallestFirst}
	}
	for _, choose := range choices {
		for _, readers := range p.prefillEngineCounts(d) {
			split := d
			split.PrefillEngines, split.DecodeEngines = readers, d.PrefillEngines+d.DecodeEngines-readers
			if r := Simulate(split, choose); r.Worth() > best.Worth() || best.Requests == 0 {
				best = r
			}
		}
	}
	return best
}

func (p Policy) prefillEngineCounts(d Scenario) []int {
	if !p.triesSplits {
		return []int{d.PrefillEngines}
	}
	all := d.PrefillEngines + d.DecodeEngines
	var list []int
	for n := 1; n <= all*2/3; n += max(1, all/splitSteps) {
		list = append(list, n)
	}
	return list
}

// Capacity returns the requests a second that the engines of a day can serve, with the best split and mean sizes.
func (d Scenario) Capacity() float64 {
	most := 0.0
	all := d.PrefillEngines + d.DecodeEngines
	for readers := 1; readers < all; readers++ {
		read := float64(readers) * d.Model.PrefillSpeed / d.Prompt
		fit := min(float64(d.Model.Slots), float64(d.Model.Memory)/(d.Prompt+d.Output/2))
		step := d.Model.StepTime.Seconds() + fit*d.Model.SlotTime.Seconds()
		most = max(most, min(read, float64(all-readers)*fit/(d.Output*step)))
	}
	return most
}

// engines is a model whose memory binds before its slots do.
var standardModel = Model{
	Slots: 64, Memory: 100_000, Stride: 64, StepTime: 600 * time.Microsecond, SlotTime: 20 * time.Microsecond,
	PrefillSpeed: 50_000, SwitchTime: 6 * time.Second, HoldTime: 2 * time.Second,
}

func standardScenario(name string, load float64) Scenario {
	d := Scenario{
		Name: name, Length: 40 * time.Second, Model: standardModel, PrefillEngines: 3, DecodeEngines: 6, DataCentres: 3, Prompt: 5000, Output: 2000,
		HintSpread: 0.4, MaxOutput: 8000, FirstEventTarget: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond,
		Deadline: 14 * time.Second, HopLatency: 2 * time.Millisecond, Seed: 7,
	}
	d.Rate = load * d.Capacity()
	return d
}

// Days are the days that are compared, each with the load that a decision answers.
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
