// Package queuer orders requests that wait for memory at model engines.
//
// It answers bursts: several times the usual load for some seconds. Requests that can still meet their target go first,
// because a late answer is worth a part of one in time; the late ones take what is left.
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
	// OnTime is the last moment to start for an answer within the target.
	TargetStart time.Time
	// Latest is the last moment to start at all.
	LatestStart time.Time
	// Returned is set for a caller who was refused before and has come back when told to.
	IsRetry bool
}

// IsLate tells whether the target can no longer be met.
func (i Item) IsLate(now time.Time) bool { return now.After(i.TargetStart) }

// IsLost tells whether the request can no longer be served.
func (i Item) IsExpired(now time.Time) bool { return now.After(i.LatestStart) }

// Sort puts items in the order in which they are to be served: those in time by rank and by how little time they have
// left, then the late ones by rank, those who have come back before the others, and by arrival.
func Sort[T any](now time.Time, items []T, item func(T) Item) {
	slices.SortStableFunc(items, func(a, b T) int {
		x, y := item(a), item(b)
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

// Work is the time of all engines together that a request needs, and the moment by which it must start. Admitted work is
// not deferred any more.
type Task struct {
	EngineTime  time.Duration
	LatestStart time.Time
	IsAdmitted  bool
}

// Defer tells which of the requests in works, in the order of their last moments, cannot be started in time together if
// they are started one after another from now on. It defers the largest each time one would be late, which leaves the
// fewest late (Moore and Hodgson).
func Defer(now time.Time, works []Task) []bool {
	deferred := make([]bool, len(works))
	var kept []int
	ahead := time.Duration(0)
	for i, w := range works {
		kept = append(kept, i)
		ahead += w.EngineTime
		// The last one starts once those before it have had their share.
		if !now.Add(ahead - w.EngineTime).After(w.LatestStart) {
			continue
		}
		largest := largestDeferrable(works, kept)
		if largest < 0 {
			continue
		}
		j := kept[largest]
		deferred[j] = true
		ahead -= works[j].EngineTime
		kept = slices.Delete(kept, largest, largest+1)
	}
	return deferred
}

// largestOf returns the place in kept of the largest work that is not admitted, -1 if all are.
func largestDeferrable(works []Task, kept []int) int {
	largest := -1
	for k, j := range kept {
		if !works[j].IsAdmitted && (largest < 0 || works[j].EngineTime > works[kept[largest]].EngineTime) {
			largest = k
		}
	}
	return largest
}
