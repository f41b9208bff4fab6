package queuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func names(now time.Time, items map[string]Item) []string {
	list := []string{}
	for name := range items {
		list = append(list, name)
	}
	Sort(now, list, func(name string) Item { return items[name] })
	return list
}

func TestThoseInTimeGoBeforeTheLateAndTheMostUrgentFirst(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	assert.Equal(t, []string{"urgent", "soon", "later", "late-first", "late"}, names(at(1000), map[string]Item{
		"late":       {Priority: 1, Arrived: at(200), OnTime: at(900)},
		"late-first": {Priority: 1, Arrived: at(100), OnTime: at(950)},
		"later":      {Priority: 1, Arrived: at(50), OnTime: at(1500)},
		"soon":       {Priority: 1, Arrived: at(60), OnTime: at(1200)},
		"urgent":     {Priority: 0, Arrived: at(70), OnTime: at(1900)},
	}))
}

func TestAnItemIsLostAfterItsLatestStart(t *testing.T) {
	i := Item{OnTime: epoch, Latest: epoch.Add(time.Second)}
	assert.True(t, i.IsLate(epoch.Add(1)))
	assert.False(t, i.IsLost(epoch.Add(time.Second)))
	assert.True(t, i.IsLost(epoch.Add(time.Second+1)))
}
