package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

// request is one generation. output, its length, is known only to the engines and to oracle schedulers.
type request struct {
	placer.Request
	output       int
	firstEventAt time.Time
	wasRefused   bool
	// firstArrival is when the caller first sent the request. Arrived is when it last arrived at the owner.
	firstArrival time.Time
	isServed     bool
	// isSlow is set once the time between two events exceeded MaxPause.
	isSlow bool
	isDone bool
	// isPrefillPlanned is set if the prefill engine has the prompt in its backlog already.
	isPrefillPlanned bool
}

// scheduleArrivals draws all requests of the scenario. They are the same for every policy.
func (s *simulation) scheduleArrivals() {
	prefixes := rand.New(rand.NewPCG(s.Seed, 4)) // its own source: the other draws are the same with and without shared parts
	for at, i := time.Duration(0), 0; at < s.Length; i++ {
		rate := s.Rate
		for _, b := range s.Bursts {
			if at >= b.From && at < b.To {
				rate *= b.Factor
			}
		}
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		var parts []cachetracker.Part
		if s.Sharing.Prefixes > 0 {
			parts = []cachetracker.Part{{ID: uint64(prefixes.IntN(s.Sharing.Prefixes)) + 1, Tokens: s.Sharing.Tokens}}
		}
		s.clock.after(at, s.newArrival(i, startTime.Add(at), parts))
	}
}

func (s *simulation) newArrival(i int, at time.Time, parts []cachetracker.Part) func() {
	logNormal := func(mean, sigma float64) float64 {
		return mean * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	}
	output := min(max(logNormal(s.Output, 0.5), 64), float64(s.MaxOutput))
	q := &request{
		Request: placer.Request{
			Job: packer.Job{
				ID: fmt.Sprintf("q%05d", i), Prompt: int(logNormal(s.Prompt, 0.4)),
				Hint: int(output * math.Exp(s.HintSpread*s.random.NormFloat64())), MaxOutput: s.MaxOutput,
			},
			Item: queuer.Item{
				Arrived: at, LatestStart: at.Add(s.Deadline - time.Duration(s.Output*2)*s.Model.StepTime),
			},
			DataCentre: fmt.Sprintf("z%d", i%max(1, s.DataCentres)), MaxPause: s.MaxPause, Fingerprint: uint64(i) + 1,
			Parts: parts,
		},
		output: int(output), firstArrival: at,
	}
	q.FirstEventDeadline = at.Add(s.FirstEventTarget - s.HopLatency)
	q.TargetStart = q.FirstEventDeadline.Add(-s.prefillTime(q.Prompt) - 4*s.HopLatency)
	return func() {
		s.result.Requests++
		s.requests[q.ID] = q
		s.enqueue(q)
	}
}
