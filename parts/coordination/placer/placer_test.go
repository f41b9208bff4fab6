package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
)

var epoch = time.Unix(1_000_000, 0)

const patience = 10 * time.Second

func newPlacer(readers, generators int) *Placer {
	p := New(rand.New(rand.NewPCG(1, 2)))
	var engines []Engine
	for i := range readers {
		engines = append(engines, Engine{ID: fmt.Sprintf("r%d", i), DataCentre: fmt.Sprintf("z%d", i%3), IsPrefill: true})
	}
	for i := range generators {
		engines = append(engines, Engine{ID: fmt.Sprintf("g%d", i), DataCentre: fmt.Sprintf("z%d", i%3)})
	}
	p.Update(matcher.Engine{Slots: 24, Memory: 40000, Stride: 64, SwitchTime: 6 * time.Second, MaxHold: 2 * time.Second}, engines)
	return p
}

// request is one of 5,200 prompt tokens that can still meet its target for half a second.
func request(id int, arrived time.Time) Request {
	return Request{
		Job:        packer.Job{ID: fmt.Sprintf("q%d", id), Prompt: 5200, Hint: 2000, MaxOutput: 8000},
		Item:       queuer.Item{Arrived: arrived, LatestStart: arrived.Add(6 * time.Second)},
		DataCentre: "z0", FirstEventDeadline: arrived.Add(900 * time.Millisecond), MaxPause: 300 * time.Millisecond,
	}
}

func burst(n int, arrived time.Time) []Request {
	var list []Request
	for i := range n {
		list = append(list, request(i, arrived.Add(time.Duration(i)*time.Millisecond)))
	}
	return list
}

// A home that stood still for five seconds is told at once of all that happened meanwhile.
func TestWhatIsToldAfterAStandstillTeachesNoTimes(t *testing.T) {
	p := newPlacer(3, 6)
	places := p.Plan(epoch, burst(3, epoch)).Placements
	require.Len(t, places, 3)
	for range 12 {
		p.RecordHold(epoch)
	}
	speed, beyond := p.prefillLoad.Speed("r0"), p.startDelay.margin()
	thawed := epoch.Add(5 * time.Second)

	p.DiscardPendingTimings()

	for _, place := range places {
		p.RecordPrefill(thawed, place.ID)
		p.RecordFirstEvent(thawed, place.ID)
	}
	assert.Equal(t, speed, p.prefillLoad.Speed("r0"))
	assert.Equal(t, beyond, p.startDelay.margin())
	_, known := p.placements.TimeFor(thawed, 1)
	assert.False(t, known, "the pace of places")
	assert.Zero(t, p.prefillLoad.Backlog(thawed, "r0"))
}

func TestARequestGetsAGeneratorAndAReader(t *testing.T) {
	p := newPlacer(3, 6)
	plan := p.Plan(epoch, burst(1, epoch))
	require.Len(t, plan.Placements, 1)
	assert.Contains(t, plan.Placements[0].DecodeEngine, "g")
	assert.Contains(t, plan.Placements[0].PrefillEngine, "r")
	assert.Empty(t, plan.Refusals)
}

// With 29 generators and 300 requests, comparing every engine for everyone took the home of a service more time than it
// had, and hosts placed alone.
func TestALongQueueCostsNoMoreThanAShortOneWhileAllEnginesAreFull(t *testing.T) {
	for name, readers := range map[string]int{"readers are busy": 15, "memory is full": 600} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(readers, 29)
			waiting := burst(300, epoch)
			p.Plan(epoch, waiting)
			s := p.newSearch(epoch)
			for _, r := range waiting {
				_, ok := s.place(r)
				assert.False(t, ok)
			}
			assert.LessOrEqual(t, s.comparisons, 1)
		})
	}
}

func TestASmallRequestFitsWhereALargeOneDoesNot(t *testing.T) {
	p := newPlacer(100, 1)
	p.Plan(epoch, burst(20, epoch))
	large, small := request(100, epoch), request(101, epoch)
	small.Prompt, small.Hint, small.MaxOutput = 200, 60, 120
	plan := p.Plan(epoch, []Request{large, small})
	require.Len(t, plan.Placements, 1)
	assert.Equal(t, "q101", plan.Placements[0].ID)
}

func TestWhoeverWillGetNoPlaceInTimeIsRefusedAtOnce(t *testing.T) {
	p := newPlacer(1, 1)
	for i := range 12 {
		p.RecordHold(epoch.Add(time.Duration(i) * 500 * time.Millisecond))
	}
	now := epoch.Add(6 * time.Second)
	waiting := burst(60, now.Add(-900*time.Millisecond))
	plan := p.Plan(now, waiting)
	require.NotEmpty(t, plan.Refusals)
	assert.Greater(t, len(plan.Refusals), 30, "at two places in a second, some ten get one in the next five")
	for _, r := range plan.Refusals {
		assert.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
		assert.LessOrEqual(t, r.RetryAfter, maxRetryAfter*3/2)
	}
}

func TestWhoeverIsTooLateIsRefused(t *testing.T) {
	p := newPlacer(3, 6)
	plan := p.Plan(epoch, burst(1, epoch.Add(-7*time.Second)))
	assert.Empty(t, plan.Placements)
	assert.Len(t, plan.Refusals, 1)
}

func TestThoseInTimeGoBeforeThoseWhoAreLate(t *testing.T) {
	p := newPlacer(1, 6)
	late, inTime := request(1, epoch.Add(-time.Second)), request(2, epoch)
	plan := p.Plan(epoch, []Request{late, inTime})
	require.NotEmpty(t, plan.Placements)
	assert.Equal(t, "q2", plan.Placements[0].ID)
}

func TestAnEngineThatIsOutGetsNothing(t *testing.T) {
	p := newPlacer(1, 2)
	p.engines[1].IsExcluded = true
	for range 5 {
		for _, place := range p.Plan(epoch, burst(1, epoch)).Placements {
			assert.Equal(t, "g1", place.DecodeEngine)
		}
	}
}

func TestAnEngineWithoutRoomIsLeftAloneForAMoment(t *testing.T) {
	p := newPlacer(5, 1)
	plan := p.Plan(epoch, burst(1, epoch))
	require.Len(t, plan.Placements, 1)
	p.RecordHoldFailure(epoch, plan.Placements[0], true)
	assert.Empty(t, p.Plan(epoch, burst(1, epoch)).Placements)
	later := epoch.Add(fullBackoff)
	assert.Len(t, p.Plan(later, burst(1, later)).Placements, 1)
}

func TestWithoutReadersAGeneratorReadsOnePromptAtATime(t *testing.T) {
	p := newPlacer(0, 2)
	plan := p.Plan(epoch, burst(10, epoch))
	assert.Len(t, plan.Placements, 2)
	for _, place := range plan.Placements {
		assert.Empty(t, place.PrefillEngine)
	}
}

func TestAnEngineThatChangesItsStageGetsNothingUntilTheListTells(t *testing.T) {
	p := newPlacer(1, 8)
	moves := p.Balance(epoch, patience)
	require.Len(t, moves.Engines, 1, "a second reader, before anything is measured")
	assert.True(t, moves.IsPrefill)
	moved := moves.Engines[0]
	for i := range 40 {
		for _, place := range p.Plan(epoch, []Request{request(i, epoch)}).Placements {
			assert.NotEqual(t, moved, place.DecodeEngine)
			assert.NotEqual(t, moved, place.PrefillEngine)
		}
	}
	p.RecordMoveFailure(epoch, moved)
	assert.Equal(t, moved, p.Balance(epoch.Add(time.Second), patience).Engines[0])
}

func TestAReportThatAnEngineChangesItsStageIsBelieved(t *testing.T) {
	p := newPlacer(2, 1)
	p.Observe(epoch, Report{Engine: "g0", IsChangingStage: true})
	assert.Empty(t, p.Plan(epoch, burst(1, epoch)).Placements)
	later := epoch.Add(9 * time.Second)
	assert.Len(t, p.Plan(later, burst(1, later)).Placements, 1)
}

func TestRunsOfAnEarlierHomeAreCounted(t *testing.T) {
	p := newPlacer(20, 1)
	for i := range 7 {
		p.AddRun(epoch, "g0", request(i, epoch).Job, epoch)
	}
	assert.Empty(t, p.Plan(epoch, burst(1, epoch)).Placements)
	for i := range 7 {
		p.RecordCompletion(epoch, fmt.Sprintf("q%d", i), 2000)
	}
	assert.Len(t, p.Plan(epoch, burst(1, epoch)).Placements, 1)
}

// A new home took a reader, ordered to generate by the home before it, for one that still read, and moved another.
func TestAnEngineThatHasChangedCountsAsChangedBeforeTheListTells(t *testing.T) {
	p := newPlacer(2, 7)
	p.Observe(epoch, Report{Engine: "r0"})
	assert.Equal(t, 1, p.measureLoad(epoch).PrefillEngines)
	moves := p.Balance(epoch, patience)
	assert.True(t, moves.IsPrefill, "the second reader is missing")
	assert.NotEqual(t, []string{"r0"}, moves.Engines)
}

func TestAReportFromBeforeTheEndOfAChangeIsNotTakenForAnotherChange(t *testing.T) {
	p := newPlacer(2, 7)
	p.Observe(epoch, Report{Engine: "g0", IsPrefill: true, IsChangingStage: true})
	assert.Equal(t, 2, p.measureLoad(epoch).PrefillEngines, "the list is newer")
	assert.False(t, p.isChanging(epoch, p.engines[2]))
}

func TestAmongHundredsOfEnginesAPlaceIsFoundWithoutComparingAll(t *testing.T) {
	p := newPlacer(100, 600)
	s := p.newSearch(epoch)
	asked := 0
	_, ok := s.pickDecodeEngine(request(1, epoch), func(Engine) bool {
		asked++
		return true
	})
	assert.True(t, ok)
	assert.LessOrEqual(t, asked, maxCandidates+1)
	p = newPlacer(1, 200)
	for i := range 1990 {
		p.AddRun(epoch, fmt.Sprintf("g%d", i%199), request(1000+i, epoch).Job, epoch)
	}
	place, ok := p.newSearch(epoch).pickDecodeEngine(request(1, epoch), func(Engine) bool { return true })
	assert.True(t, ok, "one of 200 has room")
	assert.Equal(t, "g199", place.ID)
}

func TestNothingIsKeptOfRequestsWhoseHostsAreGone(t *testing.T) {
	p := newPlacer(3, 6)
	plan := p.Plan(epoch, burst(5, epoch))
	require.NotEmpty(t, plan.Placements)
	p.RecordCacheLoss(epoch, "r0")
	p.Expire(epoch.Add(2 * predictionLifetime))
	assert.Empty(t, p.startDelay.predicted)
	assert.Empty(t, p.backoffUntil)
	assert.Zero(t, p.packer.Runs(plan.Placements[0].DecodeEngine))
}

// With everybody placed at the last moment, nearly all first events of a burst came too late.
func TestARequestWhosePromptCannotBeReadInTimeLeavesItsPlaceToOneInTime(t *testing.T) {
	p := newPlacer(1, 6)
	reading := p.prefillLoad.MeanPrefillTime(request(1, epoch).Prompt)
	tooLate, inTime := request(1, epoch), request(2, epoch)
	tooLate.FirstEventDeadline = epoch.Add(reading - time.Millisecond)
	inTime.FirstEventDeadline = epoch.Add(2 * reading)
	plan := p.Plan(epoch, []Request{tooLate, inTime})
	require.NotEmpty(t, plan.Placements)
	assert.Equal(t, "q2", plan.Placements[0].ID)
}

func TestLatenessThatIsLearnedBringsTheLastMomentForward(t *testing.T) {
	p := newPlacer(1, 6)
	reading := p.prefillLoad.MeanPrefillTime(request(1, epoch).Prompt)
	tight := func(id int) Request {
		r := request(id, epoch)
		r.FirstEventDeadline = epoch.Add(reading + 50*time.Millisecond)
		return r
	}
	require.Equal(t, "q1", p.Plan(epoch, []Request{tight(1), request(2, epoch)}).Placements[0].ID)
	p = newPlacer(1, 6)
	for range 50 {
		p.startDelay.predicted["x"] = epoch
		p.RecordFirstEvent(epoch.Add(100*time.Millisecond), "x")
	}
	assert.Equal(t, "q2", p.Plan(epoch, []Request{tight(1), request(2, epoch)}).Placements[0].ID)
}

// One of two readers had turned slow, and the split was chosen as if both were as fast as the other one.
func TestTheSplitCountsReadersForWhatTheyRead(t *testing.T) {
	p := newPlacer(2, 7)
	p.RecordArrival(epoch, request(0, epoch))
	now := epoch
	for i := range 8 { // a prompt of 5,200 tokens each
		for id, took := range map[string]time.Duration{"r0": 100 * time.Millisecond, "r1": 800 * time.Millisecond} {
			name := fmt.Sprint(id, i)
			p.prefillLoad.Assign(now, id, name, 5200)
			p.prefillLoad.Complete(now.Add(took), name)
		}
		now = now.Add(time.Second)
	}
	together := 2 / p.measureLoad(now).PrefillTime.Seconds()
	assert.InDelta(t, 1/0.1+1/0.8, together, 1, "prompts a second")
}

// measured returns a placer that has measured its engines, with no generation under way.
func measured(t *testing.T) *Placer {
	p := newPlacer(2, 2)
	for i := range 10 {
		r := request(i, epoch)
		p.RecordArrival(epoch.Add(-time.Hour), r)
		require.Len(t, p.Plan(epoch, []Request{r}).Placements, 1)
		p.RecordPrefill(epoch.Add(50*time.Millisecond), r.ID)
		p.RecordFirstEvent(epoch, r.ID)
		p.RecordCompletion(epoch, r.ID, r.Hint)
	}
	return p
}

// day is what became of requests that arrived one after another.
type day struct {
	placed  int
	refused []Refusal
	// waited is how long each refused request had waited.
	waited  []time.Duration
	waiting []Request
	ends    time.Time
}

// arrive has n requests arrive at a pace and be planned for.
func arrive(p *Placer, n int, every time.Duration) day {
	d := day{ends: epoch.Add(time.Second)}
	for i := range n {
		d.ends = d.ends.Add(every)
		d.waiting = append(d.waiting, p.RecordArrival(d.ends, distinct(i, d.ends)))
		plan := p.Plan(d.ends, d.waiting)
		settled := make(map[string]bool)
		for _, place := range plan.Placements {
			settled[place.ID] = true
			p.RecordPrefill(d.ends, place.ID)
		}
		for _, r := range plan.Refusals {
			settled[r.ID] = true
			at := slices.IndexFunc(d.waiting, func(w Request) bool { return w.ID == r.ID })
			d.waited = append(d.waited, d.ends.Sub(d.waiting[at].Arrived))
		}
		d.placed += len(plan.Placements)
		d.refused = append(d.refused, plan.Refusals...)
		d.waiting = slices.DeleteFunc(d.waiting, func(r Request) bool { return settled[r.ID] })
	}
	return d
}

// distinct is a request of its own fingerprint.
func distinct(i int, arrived time.Time) Request {
	r := request(100+i, arrived)
	r.Fingerprint = uint64(i) + 1
	return r
}

// A burst of several times what the engines can serve.
func TestInABurstWhoeverCannotBeServedInTimeIsRefusedWithinAnEighthOfTheTarget(t *testing.T) {
	d := arrive(measured(t), 60, 10*time.Millisecond)
	require.Positive(t, d.placed)
	require.Greater(t, len(d.refused), 20)
	for i, r := range d.refused {
		assert.Equal(t, "no engine will have room in time", r.Reason)
		assert.GreaterOrEqual(t, r.RetryAfter, minRetryAfter)
		assert.LessOrEqual(t, d.waited[i], 900*time.Millisecond/8, r.ID)
	}
}

func TestACallerWhoComesBackCountsAsLateAndIsNotRefusedByForecastAgain(t *testing.T) {
	p := measured(t)
	d := arrive(p, 60, 10*time.Millisecond)
	require.NotEmpty(t, d.refused)
	now := d.ends
	var anew Request
	for i := range 60 {
		if r := distinct(i, now); r.ID == d.refused[0].ID {
			anew = r
		}
	}
	anew.ID = "again"

	again := p.RecordArrival(now, anew)

	assert.True(t, again.IsRetry)
	assert.True(t, again.FirstEventDeadline.Before(anew.FirstEventDeadline), "due as long ago as the first time")
	assert.Empty(t, p.Plan(now, []Request{again}).Refusals)
	assert.False(t, p.RecordArrival(now, anew).IsRetry, "one refusal, one return")
	p.refuse(now, again, "", 0)
	p.Expire(now.Add(time.Minute))
	assert.False(t, p.RecordArrival(now, anew).IsRetry, "much later it is another request")
	anew.Fingerprint = 0
	p.refuse(now, anew, "", 0)
	assert.False(t, p.RecordArrival(now, anew).IsRetry, "of a host that tells no fingerprint")
}
