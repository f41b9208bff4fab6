package packer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

const (
	capacity = 100_000
	slots    = 64
)

func newPacker() *Packer {
	p := New(1.5)
	p.SetCapacity("e", capacity, slots)
	return p
}

func job(id string) Job { return Job{ID: id, Prompt: 5000, Hint: 4000, MaxOutput: 8000} }

func fill(p *Packer, now time.Time, spread time.Duration) int {
	n := 0
	for p.Peak(now, "e", job("next"), now) <= 1 {
		p.Add("e", job(fmt.Sprint(n)), now.Add(-time.Duration(n)*spread))
		n++
	}
	return n
}

func TestMoreRunsOfDifferentAgesFitThanWithFullReservations(t *testing.T) {
	full := capacity / (5000 + 8000)
	assert.Greater(t, fill(newPacker(), epoch, 400*time.Millisecond), full+2)
}

func TestAnEngineWithoutAFreeSlotHasNoRoom(t *testing.T) {
	p := New(1.5)
	p.SetCapacity("e", capacity, 1)
	p.Add("e", job("a"), epoch)
	assert.True(t, math.IsInf(p.Peak(epoch, "e", job("b"), epoch), 1))
	assert.True(t, math.IsInf(p.Peak(epoch, "unknown", job("b"), epoch), 1))
}

func TestACompletedRunFreesItsMemoryAndUpdatesTheRatios(t *testing.T) {
	p := newPacker()
	before := p.Peak(epoch, "e", job("b"), epoch)
	p.Add("e", job("a"), epoch)
	assert.Greater(t, p.Peak(epoch, "e", job("b"), epoch), before)
	mean := p.ratios.Mean()
	p.Complete(epoch, "a", 8000)
	assert.Zero(t, p.Runs("e"))
	assert.Greater(t, p.ratios.Mean(), mean)
}

func TestARunOfAnotherHostIsAddedAndDroppedByReports(t *testing.T) {
	p := newPacker()
	p.Observe(epoch, "e", 64, []ReportedRun{{ID: "foreign", Tokens: 6000, Events: 10}})
	assert.Equal(t, 1, p.Runs("e"))
	p.Observe(epoch.Add(reportLag+time.Second), "e", 64, nil)
	assert.Zero(t, p.Runs("e"))
}

func TestAReportedRunWithoutHintOrLimitIsAssumedToGoOn(t *testing.T) {
	for _, hasOther := range []bool{false, true} {
		p := newPacker()
		if hasOther {
			p.RecordArrival(job("known"))
		}
		empty := p.Peak(epoch, "e", job("next"), epoch)
		p.Observe(epoch, "e", 64, []ReportedRun{{ID: "foreign", Tokens: 30_000, Events: 1}})
		assert.Greater(t, p.Peak(epoch, "e", job("next"), epoch), empty+0.25, "another request recorded: %t", hasOther)
	}
}

func TestADelayedReportDoesNotRestoreAnEndedRun(t *testing.T) {
	p := newPacker()
	p.Add("e", job("a"), epoch)
	p.Complete(epoch, "a", 4000)
	p.Observe(epoch.Add(time.Second), "e", 64, []ReportedRun{{ID: "a", Tokens: 8000, Events: 50}})
	assert.Zero(t, p.Runs("e"))
	p.Expire(epoch.Add(reportLag + 1))
	p.Observe(epoch.Add(reportLag+1), "e", 64, []ReportedRun{{ID: "a", Tokens: 8000, Events: 50}})
	assert.Equal(t, 1, p.Runs("e"), "a run that is still reported later is another one")
}

func TestADelayedReportDoesNotDropARunThatHasJustStarted(t *testing.T) {
	p := newPacker()
	p.Add("e", job("a"), epoch)
	p.Observe(epoch.Add(time.Second), "e", 64, nil)
	assert.Equal(t, 1, p.Runs("e"))
}

func TestARunWithoutAReportOfItsEndIsDroppedWhenOverdue(t *testing.T) {
	p := newPacker()
	p.Add("e", job("a"), epoch)
	p.Expire(epoch.Add(10 * time.Second))
	assert.Equal(t, 1, p.Runs("e"))
	p.Expire(epoch.Add(20 * time.Second))
	assert.Zero(t, p.Runs("e"))
}

func TestAMeasuredSlowRateOfAnEngineExpires(t *testing.T) {
	p := newPacker()
	p.SetCapacity("f", capacity, slots)
	p.Add("e", job("a"), epoch)
	usual := p.OutputTime(epoch, "e", 64)
	for range 10 {
		p.RecordOutput(epoch, "a", 64, 8*usual)
	}
	assert.Greater(t, p.OutputTime(epoch, "e", 64), 6*usual)
	assert.Equal(t, usual, p.OutputTime(epoch, "f", 64))
	assert.Less(t, p.OutputTime(epoch.Add(rateLifetime+1), "e", 64), 2*usual)
}

func TestRatiosFollowCompletedRuns(t *testing.T) {
	r := NewRatios()
	assert.InDelta(t, 0.5, r.Survival(1), 0.05)
	for range 500 {
		r.Add(0.25)
	}
	assert.InDelta(t, 0, r.Survival(0.5), 0.05)
	assert.InDelta(t, 1, r.Survival(0.1), 0.05)
	assert.Zero(t, r.Survival(100))
}

// replayResult holds the mean share of the memory in use during a burst, and the share of time in which it overflowed.
type replayResult struct {
	used     float64
	overflow float64
}

// replay simulates a burst of 20 s in which requests arrive faster than they can be accepted. Outputs vary widely around
// their hints. A request is accepted on arrival if fits allows it, and dropped otherwise.
func replay(p *Packer, fits func(now time.Time, j Job, reserved int) bool, reserve func(Job) int) replayResult {
	const rate = 1000.0
	random := rand.New(rand.NewPCG(3, 4))
	type activeRun struct {
		Job
		start  time.Time
		output float64
	}
	running := make(map[string]activeRun)
	var r replayResult
	samples := 0.0
	for ms := 0; ms < 20_000; ms += 20 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		use, reserved := 0.0, 0
		for id, ar := range running {
			produced := now.Sub(ar.start).Seconds() * rate
			if produced >= ar.output {
				delete(running, id)
				p.Complete(now, id, int(ar.output))
				continue
			}
			use += float64(ar.Prompt) + produced
			reserved += max(reserve(ar.Job), ar.Prompt+int(produced))
		}
		if use > capacity {
			r.overflow++
		}
		samples++
		r.used += use / capacity
		hint := min(4000*math.Exp(0.5*random.NormFloat64()), 8000)
		j := Job{ID: fmt.Sprint(ms), Prompt: 2000 + random.IntN(6000), Hint: int(hint), MaxOutput: 8000}
		output := min(hint*math.Exp(0.5*random.NormFloat64()), 8000)
		if fits(now, j, reserved) {
			p.Add("e", j, now)
			running[j.ID] = activeRun{Job: j, start: now, output: output}
		}
	}
	return replayResult{used: r.used / samples, overflow: r.overflow / samples}
}

func TestPackingABurstUsesMoreMemoryThanReservationsAndOverflowsLessThanPromptsAlone(t *testing.T) {
	longest := func(j Job) int { return j.Prompt + j.MaxOutput }
	hinted := func(j Job) int { return j.Prompt + j.Hint }
	promptOnly := func(j Job) int { return j.Prompt }
	byReservation := func(of func(Job) int) replayResult {
		return replay(newPacker(), func(_ time.Time, j Job, reserved int) bool { return reserved+of(j) <= capacity }, of)
	}
	full, hints, prompts := byReservation(longest), byReservation(hinted), byReservation(promptOnly)
	p := newPacker()
	predicted := replay(p, func(now time.Time, j Job, _ int) bool { return p.Peak(now, "e", j, now) <= 1 }, promptOnly)
	t.Logf("memory used, and share of time with too little: longest output %.2f %.3f, hint %.2f %.3f, prompt %.2f %.3f, packer %.2f %.3f",
		full.used, full.overflow, hints.used, hints.overflow, prompts.used, prompts.overflow, predicted.used, predicted.overflow)
	assert.Greater(t, predicted.used, full.used)
	assert.Greater(t, predicted.used, hints.used)
	assert.Less(t, predicted.overflow, prompts.overflow/2)
}

func TestPromptsProcessedInOneBatchDoNotInflateTheMeasuredSpeed(t *testing.T) {
	pl := NewPrefillLoad()
	now := epoch
	for i := range 20 {
		a, b := fmt.Sprint("a", i), fmt.Sprint("b", i)
		pl.Assign(now, "r", a, 5000)
		pl.Assign(now, "r", b, 5000)
		now = now.Add(200 * time.Millisecond)
		pl.Complete(now, a)
		pl.Complete(now, b) // both were processed in one batch
	}
	assert.InDelta(t, 50_000, pl.Speed("r"), 5_000)
}

func TestTheBacklogShrinksWithTimeAndWithEachCompletedPrompt(t *testing.T) {
	pl := NewPrefillLoad()
	pl.Assign(epoch, "r", "a", 1000)
	pl.Assign(epoch, "r", "b", 1000)
	first := pl.Backlog(epoch, "r")
	assert.Less(t, pl.Backlog(epoch.Add(20*time.Millisecond), "r"), first)
	pl.Complete(epoch.Add(50*time.Millisecond), "a")
	assert.Less(t, pl.Backlog(epoch.Add(50*time.Millisecond), "r"), first)
	pl.Drop("b")
	assert.Zero(t, pl.Backlog(epoch.Add(50*time.Millisecond), "r"))
}

func TestAPromptThatIsNeverProcessedDoesNotBlockItsEngine(t *testing.T) {
	pl := NewPrefillLoad()
	pl.Assign(epoch, "r", "a", 1_000_000)
	assert.Zero(t, pl.Backlog(epoch.Add(prefillTimeout+1), "r"))
}

// With long prompts and short outputs, the memory use is known almost exactly, whenever the runs end.
func TestMaxConcurrentRunsDoesNotDependOnConfidenceForLongPromptsAndShortOutputs(t *testing.T) {
	const memory = 68_000
	long := Job{Prompt: 5200, Hint: 1000, MaxOutput: 2400}
	withMargin, _ := New(2.5).MaxConcurrentRuns(epoch, memory, slots, 250, long)
	withoutMargin, _ := New(0).MaxConcurrentRuns(epoch, memory, slots, 250, long)
	assert.Equal(t, withoutMargin, withMargin)
}
