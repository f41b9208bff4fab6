package simulator

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Summary aggregates the results of a policy over random scenarios. OnTime, Late and Refused are shares of all requests;
// the served shares and Worth are means over the scenarios.
type Summary struct {
	Scenarios        int
	Worth            float64
	WorstTenth       float64
	OnTime           float64
	Late             float64
	Refused          float64
	ServedShare      float64
	LargeServedShare float64
	// RefusalWaits has the waiting times of all refusals, sorted.
	RefusalWaits []time.Duration
}

// SimulateRandom runs the random scenarios of seeds 1 to count under the policy of the owner.
func SimulateRandom(count int) Summary {
	results := make([]Result, count)
	slots := make(chan struct{}, runtime.NumCPU())
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = Simulate(RandomScenario(uint64(i+1)), Owner)
		})
	}
	wg.Wait()
	return summarise(results)
}

func summarise(results []Result) Summary {
	s := Summary{Scenarios: len(results)}
	n := float64(max(1, len(results)))
	requests := 0.0
	var worths []float64
	for _, r := range results {
		worths = append(worths, r.Worth())
		requests += float64(r.Requests)
		s.Worth += r.Worth() / n
		s.ServedShare += r.ServedShare / n
		s.LargeServedShare += r.LargeServedShare / n
		s.OnTime += float64(r.OnTime)
		s.Late += float64(r.Late)
		s.Refused += float64(r.Refused)
		s.RefusalWaits = append(s.RefusalWaits, r.RefusalWaits...)
	}
	s.OnTime, s.Late, s.Refused = s.OnTime/max(1, requests), s.Late/max(1, requests), s.Refused/max(1, requests)
	slices.Sort(worths)
	slices.Sort(s.RefusalWaits)
	if len(worths) > 0 {
		s.WorstTenth = worths[len(worths)/10]
	}
	return s
}

// RefusalWait returns the quantile (0 to 1) of the waiting times of refusals.
func (s Summary) RefusalWait(quantile float64) time.Duration {
	if len(s.RefusalWaits) == 0 {
		return 0
	}
	return s.RefusalWaits[int(quantile*float64(len(s.RefusalWaits)-1))]
}

// Print writes a Markdown table to w.
func (s Summary) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, `| scenarios | worth | worst tenth | in time | late | refused | served | largest tenth served | wait before refusal (p50, p90, p95) |
|---|---|---|---|---|---|---|---|---|
| %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %d, %d, %d ms |
`, s.Scenarios, s.Worth, s.WorstTenth, s.OnTime, s.Late, s.Refused, s.ServedShare, s.LargeServedShare,
		s.RefusalWait(0.5).Milliseconds(), s.RefusalWait(0.9).Milliseconds(), s.RefusalWait(0.95).Milliseconds())
	return err
}
