package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// limitedFor returns an endpoint that stated a limit at start, after which each of hosts sent rate requests a second.
func limitedFor(start time.Time, limit float64, hosts, rate int) *Endpoint {
	e := &Endpoint{}
	e.limits.changes = []LimitChange{{At: start, PerSecond: &limit}}
	e.limits.informedAt = make(map[string]time.Time)
	const seconds = 10
	for i := range seconds * rate {
		for h := range hosts {
			host := fmt.Sprintf("host-%d", h)
			e.limits.informedAt[host] = start
			at := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
			e.limits.arrivals = append(e.limits.arrivals, Arrival{At: at, ID: host + "/1"})
		}
	}
	return e
}

func TestRequestsOfAllHostsTogetherAreComparedWithTheLimit(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	assert.Empty(t, limitedFor(start, 10, 2, 5).LimitExcesses(3*time.Second))
	excesses := limitedFor(start, 10, 4, 5).LimitExcesses(3 * time.Second)
	assert.NotEmpty(t, excesses)
	assert.False(t, excesses[0].End.Before(start.Add(3*time.Second)))
	assert.EqualValues(t, 65, excesses[0].Allowed)
	assert.Greater(t, float64(excesses[0].Requests), excesses[0].Allowed)
}

func TestRequestsOfHostsWithoutAnAnswerDoNotCount(t *testing.T) {
	e := limitedFor(time.Unix(1_000_000, 0), 1, 4, 5)
	clear(e.limits.informedAt)
	assert.Empty(t, e.LimitExcesses(3*time.Second))
}

func TestAHigherLimitCountsForTheWindowsThatItReachesInto(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	e := limitedFor(start, 20, 4, 5)
	lower := 5.0
	e.limits.changes = append(e.limits.changes, LimitChange{At: start.Add(5 * time.Second), PerSecond: &lower})
	excesses := e.LimitExcesses(3 * time.Second)
	assert.NotEmpty(t, excesses)
	assert.False(t, excesses[0].End.Before(start.Add(9*time.Second)))
	e.limits.changes = append(e.limits.changes[:1], LimitChange{At: start.Add(5 * time.Second)})
	assert.Empty(t, e.LimitExcesses(3*time.Second), "withdrawn")
}
