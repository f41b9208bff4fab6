package simulator

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Summary is how a policy does over many drawn deployments. Shares are of the requests of all days.
type Summary struct {
	Scenarios        int
	Worth            float64
	WorstTenth       float64
	OnTime           float64
	Late             float64
	Refused          float64
	ServedShare      float64
	LargeServedShare float64
	// Refusals is how long refused requests had waited, sorted.
	RefusalWaits []time.Duration
}

// Drawn plays the first days deployments under the decisions of a service's home.
func SimulateRandom(days int) Summary {
	results := make([]Result, days)
	free := make(chan struct{}, runtime.NumCPU())
	var wait sync.WaitGroup
	for i := range days {
		wait.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			results[i] = Simulate(RandomScenario(uint64(i+1)), Owner)
		})
	}
	wait.Wait()
	return summarise(results)
}

func summarise(results []Result) Summary {
	s := Summary{Scenarios: len(results)}
	n := float64(max(1, len(results)))
	asked := 0.0
	var worths []float64
	for _, r := range results {
		worths = append(worths, r.Worth())
		asked += float64(r.Requests)
		s.Worth += r.Worth() / n
		s.ServedShare += r.ServedShare / n
		s.LargeServedShare += r.LargeServedShare / n
		s.OnTime += float64(r.OnTime)
		s.Late += float64(r.Late)
		s.Refused += float64(r.Refused)
		s.RefusalWaits = append(s.RefusalWaits, r.RefusalWaits...)
	}
	s.OnTime, s.Late, s.Refused = s.OnTime/max(1, asked), s.Late/max(1, asked), s.Refused/max(1, asked)
	slices.Sort(worths)
	slices.Sort(s.RefusalWaits)
	if len(worths) > 0 {
		s.WorstTenth = worths[len(worths)/10]
	}
	return s
}

// RefusedAfter returns how long a part of the refused requests had waited at most.
func (s Summary) RefusalWait(part float64) time.Duration {
	if len(s.RefusalWaits) == 0 {
		return 0
	}
	return s.RefusalWaits[int(part*float64(len(s.RefusalWaits)-1))]
}

// Print writes the summary as a table.
func (s Summary) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, `| deployments | worth | worst tenth | in time | late | refused | served | largest tenth served | refused after (50, 90, 95 of 100) |
|---|---|---|---|---|---|---|---|---|
| %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %d, %d, %d ms |
`, s.Scenarios, s.Worth, s.WorstTenth, s.OnTime, s.Late, s.Refused, s.ServedShare, s.LargeServedShare,
		s.RefusalWait(0.5).Milliseconds(), s.RefusalWait(0.9).Milliseconds(), s.RefusalWait(0.95).Milliseconds())
	return err
}
