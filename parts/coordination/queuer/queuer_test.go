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

func TestItemsInTimePrecedeLateOnesAndTheMostUrgentIsFirst(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	assert.Equal(t, []string{"urgent", "soon", "later", "late-first", "late"}, names(at(1000), map[string]Item{
		"late":       {Priority: 1, Arrived: at(200), TargetStart: at(900)},
		"late-first": {Priority: 1, Arrived: at(100), TargetStart: at(950)},
		"later":      {Priority: 1, Arrived: at(50), TargetStart: at(1500)},
		"soon":       {Priority: 1, Arrived: at(60), TargetStart: at(1200)},
		"urgent":     {Priority: 0, Arrived: at(70), TargetStart: at(1900)},
	}))
}

func TestAnItemExpiresAfterItsLatestStart(t *testing.T) {
	i := Item{TargetStart: epoch, LatestStart: epoch.Add(time.Second)}
	assert.True(t, i.IsLate(epoch.Add(1)))
	assert.False(t, i.IsExpired(epoch.Add(time.Second)))
	assert.True(t, i.IsExpired(epoch.Add(time.Second+1)))
}

func TestTheFewestAndLargestTasksAreDeferredSoThatAllOthersStartInTime(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	task := func(engineTime, start int) Task {
		return Task{EngineTime: ms(engineTime), LatestStart: epoch.Add(ms(start))}
	}
	for name, c := range map[string]struct {
		tasks []Task
		want  []bool
	}{
		"no task":           {nil, []bool{}},
		"all start in time": {[]Task{task(100, 50), task(100, 150), task(100, 250)}, []bool{false, false, false}},
		"a large task delays later ones": {
			[]Task{task(100, 50), task(400, 150), task(100, 250), task(100, 350)}, []bool{false, true, false, false},
		},
		"the last task is the largest": {[]Task{task(100, 0), task(900, 50)}, []bool{false, true}},
		"an admitted task is not deferred": {
			[]Task{{EngineTime: ms(400), LatestStart: epoch, IsAdmitted: true}, task(100, 50), task(100, 450)}, []bool{false, true, false},
		},
		"all tasks are admitted": {
			[]Task{{EngineTime: ms(400), LatestStart: epoch, IsAdmitted: true}, {EngineTime: ms(400), LatestStart: epoch, IsAdmitted: true}}, []bool{false, false},
		},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, Defer(epoch, c.tasks)) })
	}
}

func TestAmongLateItemsRetriesAreFirst(t *testing.T) {
	late := epoch.Add(-time.Second)
	assert.Equal(t, []string{"retry", "first", "second"}, names(epoch, map[string]Item{
		"first":  {Priority: 1, Arrived: epoch.Add(-3 * time.Second), TargetStart: late},
		"second": {Priority: 1, Arrived: epoch.Add(-2 * time.Second), TargetStart: late},
		"retry":  {Priority: 1, Arrived: epoch.Add(-time.Second), TargetStart: late, IsRetry: true},
	}))
}
