package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// maxRequests is the approximate limit on the requests of a random scenario.
const maxRequests = 3000

// RandomScenario draws a scenario: 5 to 90 engines with memory for 6 to 40 prompts, and a steady load or bursts of 0.5 to
// 4 times their capacity.
func RandomScenario(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 3))
	// between draws from a log-uniform distribution.
	between := func(low, high float64) float64 { return low * math.Exp(random.Float64()*math.Log(high/low)) }
	all := int(between(5, 91))
	prompt, output := between(2000, 6000), between(400, 1200)
	model := Model{
		Slots: 64, Memory: int(between(6, 40) * (prompt + output/2)), Stride: 14,
		StepTime: time.Duration(between(0.6, 4) * float64(time.Millisecond)), SlotTime: 20 * time.Microsecond,
		PrefillSpeed: between(25_000, 100_000), SwitchTime: 6 * time.Second, HoldTime: 2 * time.Second,
	}
	prefillEngines := max(1, all/3)
	s := Scenario{
		Name: fmt.Sprintf("deployment %d", seed), Length: 25 * time.Second, Model: model, PrefillEngines: prefillEngines, DecodeEngines: all - prefillEngines,
		DataCentres: 1 + random.IntN(4), Prompt: prompt, Output: output, HintSpread: 0.5, MaxOutput: int(3 * output),
		FirstEventTarget: time.Duration(between(0.5, 3) * float64(time.Second)), MaxPause: 300 * time.Millisecond, Deadline: 14 * time.Second, MaxWaitShare: 0.35,
		HopLatency: 2 * time.Millisecond, Seed: seed,
	}
	load := between(0.5, 4)
	s.Rate = load * s.Capacity()
	if random.IntN(2) == 0 {
		s.Rate = 0.6 * s.Capacity()
		s.Bursts = []Burst{
			{From: 8 * time.Second, To: 12 * time.Second, Factor: load / 0.6},
			{From: 17 * time.Second, To: 20 * time.Second, Factor: load / 0.6},
		}
	}
	s.Length = min(s.Length, time.Duration(maxRequests/(s.Rate*max(1, load/2))*float64(time.Second)))
	return s
}
