// Package queuer orders requests that wait for memory at model engines.
//
// It is designed for bursts of several times the mean load for some seconds. Requests that can still meet their target go
// first, because a late answer is worth only part of one in time; late requests get the remaining capacity.
package queuer

import (
	"cmp"
	"slices"
	"time"
)

// Item is a waiting request.
type Item struct {
	// Priority is the rank of the route; 0 goes first.
	Priority int
	Arrived  time.Time
	// TargetStart is the latest start for an answer within the target.
	TargetStart time.Time
	// LatestStart is the time after which the request can no longer be served.
	LatestStart time.Time
	// IsRetry is set if the request was refused before and is retried after the advised time.
	IsRetry bool
	// IsResumption is set for a stream that was interrupted: its caller has a part of the answer.
	IsResumption bool
}

// IsLate reports whether the target can no longer be met. Resumptions count as in time, so that they go before new requests.
func (i Item) IsLate(now time.Time) bool { return !i.IsResumption && now.After(i.TargetStart) }

// IsExpired reports whether the request can no longer be served.
func (i Item) IsExpired(now time.Time) bool { return now.After(i.LatestStart) }

// Sort puts items into service order. Resumptions come first, then the items that can meet their target, by priority and then by
// the time left.
// Late items follow, by priority, retries before others, and then by arrival.
func Sort[T any](now time.Time, items []T, item func(T) Item) {
	slices.SortStableFunc(items, func(a, b T) int {
		x, y := item(a), item(b)
		if first := compareBool(y.IsResumption, x.IsResumption); first != 0 {
			return first
		}
		if late := compareBool(x.IsLate(now), y.IsLate(now)); late != 0 {
			return late
		}
		if x.Priority != y.Priority {
			return cmp.Compare(x.Priority, y.Priority)
		}
		if x.IsLate(now) {
			return cmp.Or(compareBool(y.IsRetry, x.IsRetry), x.Arrived.Compare(y.Arrived))
		}
		return x.TargetStart.Compare(y.TargetStart)
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Task is a request for Defer. EngineTime is the time for which it occupies all engines together. A task that is admitted
// can no longer be deferred.
type Task struct {
	EngineTime  time.Duration
	LatestStart time.Time
	IsAdmitted  bool
}

// Defer returns which tasks to defer so that all others start in time, one after another from now on. The tasks must be
// in the order of their latest starts. Each time a task would start late, the largest task so far is deferred, which
// gives the fewest late tasks (Moore-Hodgson algorithm).
func Defer(now time.Time, tasks []Task) []bool {
	deferred := make([]bool, len(tasks))
	var kept []int
	total := time.Duration(0)
	for i, t := range tasks {
		kept = append(kept, i)
		total += t.EngineTime
		// The task starts after those before it have used their engine time.
		if !now.Add(total - t.EngineTime).After(t.LatestStart) {
			continue
		}
		largest := largestDeferrable(tasks, kept)
		if largest < 0 {
			continue
		}
		j := kept[largest]
		deferred[j] = true
		total -= tasks[j].EngineTime
		kept = slices.Delete(kept, largest, largest+1)
	}
	return deferred
}

// largestDeferrable returns the index in kept of the largest task that is not admitted, -1 if all are.
func largestDeferrable(tasks []Task, kept []int) int {
	largest := -1
	for k, j := range kept {
		if !tasks[j].IsAdmitted && (largest < 0 || tasks[j].EngineTime > tasks[kept[largest]].EngineTime) {
			largest = k
		}
	}
	return largest
}
