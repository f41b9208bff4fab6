package placer

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
)

// overload counts the requests that arrive and that are placed.
type overload struct {
	arrived, placed int
}

func (o overload) share() float64 { return float64(o.placed) / float64(o.arrived) }

// wave is a time in which callers return whose streams broke off: one each few steps, each of whom waits for a while.
type wave struct {
	steps, every int
	patience     time.Duration
}

// runOverload replays ten seconds in which more new streams arrive than the engines can serve, and callers return whose streams broke
// off. They return in a wave, as after a loss of hosts, have less time left than others and come back after a refusal.
func runOverload(t *testing.T, w wave) (fresh, resumed overload) {
	t.Helper()
	const (
		step       = 20 * time.Millisecond
		runTime    = 3 * time.Second
		freshEvery = 3 // steps
		tries      = 3
	)
	p := newMixedPlacer("", "v1")
	var waiting []Request
	isResumption := make(map[string]bool)
	type comeback struct {
		Request
		at    time.Time
		tries int
	}
	var comebacks []comeback
	triesLeft := make(map[string]int)
	ends := make(map[string]time.Time)
	for i := range 500 {
		now := epoch.Add(time.Duration(i) * step)
		add := func(id int, r Request, o *overload) {
			r.ID = r.ID + "-" + time.Duration(id).String()
			r.Fingerprint = uint64(10*i + id + 1)
			o.arrived++
			waiting = append(waiting, p.RecordArrival(now, r))
			isResumption[r.ID] = r.IsResumption
		}
		if i%freshEvery == 0 {
			add(1, request(i, now), &fresh)
		}
		if i > 100 && i < 100+w.steps && i%w.every == 0 {
			r := resumption(i, "v1")
			r.Arrived, r.LatestStart, r.FirstEventDeadline = now, now.Add(w.patience), now.Add(900*time.Millisecond)
			r.IsResumption = true
			add(2, r, &resumed)
			triesLeft[waiting[len(waiting)-1].ID] = tries
		}
		comebacks = slices.DeleteFunc(comebacks, func(c comeback) bool {
			if now.Before(c.at) {
				return false
			}
			c.ID += "+"
			c.Arrived, c.LatestStart, c.FirstEventDeadline = now, now.Add(w.patience), now.Add(900*time.Millisecond)
			waiting = append(waiting, p.RecordArrival(now, c.Request))
			isResumption[c.ID], triesLeft[c.ID] = true, c.tries
			return true
		})
		for id, end := range ends {
			if !now.Before(end) {
				p.RecordCompletion(now, id, 2000)
				delete(ends, id)
			}
		}
		plan := p.Plan(now, slices.Clone(waiting))
		done := make(map[string]bool)
		for _, placement := range plan.Placements {
			done[placement.ID] = true
			ends[placement.ID] = now.Add(runTime)
			p.RecordHold(now)
			p.RecordPrefill(now, placement.ID)
			p.RecordFirstEvent(now, placement.ID)
			if isResumption[placement.ID] {
				resumed.placed++
			} else {
				fresh.placed++
			}
		}
		for _, refusal := range plan.Refusals {
			done[refusal.ID] = true
			if triesLeft[refusal.ID] > 1 {
				r := waiting[slices.IndexFunc(waiting, func(r Request) bool { return r.ID == refusal.ID })]
				comebacks = append(comebacks, comeback{Request: r, at: now.Add(min(refusal.RetryAfter, w.patience)), tries: triesLeft[refusal.ID] - 1})
			}
		}
		waiting = slices.DeleteFunc(waiting, func(r Request) bool { return done[r.ID] })
	}
	return fresh, resumed
}

func TestResumedStreamsGoOnAtLeastHalfAsOftenAsNewOnesBeginInOverload(t *testing.T) {
	for _, w := range []wave{
		{150, 2, 700 * time.Millisecond}, {150, 1, 500 * time.Millisecond}, {80, 1, 500 * time.Millisecond}, {100, 1, 300 * time.Millisecond},
	} {
		fresh, resumed := runOverload(t, w)
		t.Logf("%v: new %d of %d, resumed %d of %d", w, fresh.placed, fresh.arrived, resumed.placed, resumed.arrived)
		assert.Less(t, fresh.share(), 0.9, "an overload")
		assert.GreaterOrEqual(t, resumed.share(), fresh.share()/2, w)
	}
}

func TestARefusalIsNotTakenForThatOfAResumedStream(t *testing.T) {
	p := newMixedPlacer("", "v1")
	refused := Request{Job: packer.Job{ID: "q"}, Fingerprint: 7, FirstEventDeadline: epoch}
	p.refuse(epoch, refused, "no engine has room", 0)
	r := resumption(1, "v1")
	r.Fingerprint, r.IsResumption = 7, true
	got := p.RecordArrival(epoch, r)
	assert.False(t, got.IsRetry)
	assert.Equal(t, r.FirstEventDeadline, got.FirstEventDeadline)
}
