package simulator

import (
	"fmt"
	"math"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

// request is one generation with what only the engines know: its output.
type request struct {
	placer.Request
	output       int
	firstEventAt time.Time
	wasRefused   bool
	// arrived is when the request came last: those who come back arrive anew.
	lastArrival time.Time
	isServed    bool
	// slow is set once a pause between events was too long.
	isSlow bool
	isDone bool
	// planned is set if its reading engine has counted the prompt already.
	isPrefillPlanned bool
}

// arrivals draws all requests of the day, the same ones for each policy.
func (s *simulation) scheduleArrivals() {
	for at, i := time.Duration(0), 0; at < s.Length; i++ {
		rate := s.Rate
		for _, b := range s.Bursts {
			if at >= b.From && at < b.To {
				rate *= b.Factor
			}
		}
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		s.clock.after(at, s.newArrival(i, startTime.Add(at)))
	}
}

func (s *simulation) newArrival(i int, at time.Time) func() {
	spread := func(mean, sigma float64) float64 {
		return mean * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	}
	output := min(max(spread(s.Output, 0.5), 64), float64(s.MaxOutput))
	q := &request{
		Request: placer.Request{
			Job: packer.Job{
				ID: fmt.Sprintf("q%05d", i), Prompt: int(spread(s.Prompt, 0.4)),
				Hint: int(output * math.Exp(s.HintSpread*s.random.NormFloat64())), MaxOutput: s.MaxOutput,
			},
			Item: queuer.Item{
				Arrived: at, LatestStart: at.Add(s.Deadline - time.Duration(s.Output*2)*s.Model.StepTime),
			},
			DataCentre: fmt.Sprintf("z%d", i%max(1, s.DataCentres)), MaxPause: s.MaxPause, Fingerprint: uint64(i) + 1,
		},
		output: int(output),
	}
	q.FirstEventDeadline = at.Add(s.FirstEventTarget - s.HopLatency)
	q.TargetStart = q.FirstEventDeadline.Add(-s.prefillTime(q.Prompt) - 4*s.HopLatency)
	return func() {
		s.result.Requests++
		s.requests[q.ID] = q
		s.enqueue(q)
	}
}
