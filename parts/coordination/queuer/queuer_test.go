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
		"late":       {Priority: 1, Arrived: at(200), TargetStart: at(900)},
		"late-first": {Priority: 1, Arrived: at(100), TargetStart: at(950)},
		"later":      {Priority: 1, Arrived: at(50), TargetStart: at(1500)},
		"soon":       {Priority: 1, Arrived: at(60), TargetStart: at(1200)},
		"urgent":     {Priority: 0, Arrived: at(70), TargetStart: at(1900)},
	}))
}

func TestAnItemIsLostAfterItsLatestStart(t *testing.T) {
	i := Item{TargetStart: epoch, LatestStart: epoch.Add(time.Second)}
	assert.True(t, i.IsLate(epoch.Add(1)))
	assert.False(t, i.IsExpired(epoch.Add(time.Second)))
	assert.True(t, i.IsExpired(epoch.Add(time.Second+1)))
}

func TestTheFewestAndLargestAreDeferredSoThatAllOthersStartInTime(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	work := func(needs, start int) Task { return Task{EngineTime: ms(needs), LatestStart: epoch.Add(ms(start))} }
	for name, c := range map[string]struct {
		works []Task
		want  []bool
	}{
		"nobody waits":      {nil, []bool{}},
		"all start in time": {[]Task{work(100, 50), work(100, 150), work(100, 250)}, []bool{false, false, false}},
		"a large one is in the way": {
			[]Task{work(100, 50), work(400, 150), work(100, 250), work(100, 350)}, []bool{false, true, false, false},
		},
		"the last one is the largest": {[]Task{work(100, 0), work(900, 50)}, []bool{false, true}},
		"admitted work stays": {
			[]Task{{EngineTime: ms(400), LatestStart: epoch, IsAdmitted: true}, work(100, 50), work(100, 450)}, []bool{false, true, false},
		},
		"all are admitted": {
			[]Task{{EngineTime: ms(400), LatestStart: epoch, IsAdmitted: true}, {EngineTime: ms(400), LatestStart: epoch, IsAdmitted: true}}, []bool{false, false},
		},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, Defer(epoch, c.works)) })
	}
}

func TestOfTheLateThoseWhoHaveComeBackGoFirst(t *testing.T) {
	late := epoch.Add(-time.Second)
	assert.Equal(t, []string{"back", "first", "second"}, names(epoch, map[string]Item{
		"first":  {Priority: 1, Arrived: epoch.Add(-3 * time.Second), TargetStart: late},
		"second": {Priority: 1, Arrived: epoch.Add(-2 * time.Second), TargetStart: late},
		"back":   {Priority: 1, Arrived: epoch.Add(-time.Second), TargetStart: late, IsRetry: true},
	}))
}
