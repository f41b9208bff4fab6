package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

// The parts of the prompts in these tests: all share the first one, and some the second.
var (
	first  = Cause{Kind: Part, ID: 1}
	second = Cause{Kind: Part, ID: 2}
	third  = Cause{Kind: Part, ID: 3}
	whole  = Cause{Kind: Request, ID: 7}
)

var testConfig = Config{
	RequestLimit: 3, PartLimit: 3, BurstLimit: 5, BurstTime: 100 * time.Millisecond, Retention: time.Minute, AcquittalTime: 10 * time.Second,
}

func newQuarantine() *Quarantine {
	q := New(testConfig)
	q.SetHosts(epoch, 12, 50*time.Millisecond)
	return q
}

func after(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// end returns the end of an engine that two hosts have seen, blamed on a request and on parts in the order of a prompt.
func end(n int, at time.Time, request uint64, parts ...Cause) End {
	e := End{Engine: Engine{ID: fmt.Sprint("e", n)}, At: at, Witnesses: []string{"a", "b"}}
	e.Blames = append(e.Blames, Blame{Cause: Cause{Kind: Request, ID: request}})
	for i, p := range parts {
		e.Blames = append(e.Blames, Blame{Cause: p, Depth: i})
	}
	return e
}

// crash observes the ends of n engines, half a second after each other, under different requests with the same parts.
func crash(q *Quarantine, from, n int, parts ...Cause) {
	for i := from; i < from+n; i++ {
		at := after(float64(i) / 2)
		q.Observe(at, end(i, at, uint64(100+i), parts...))
	}
}

func TestARequestIsConvictedAtItsLimitOfEnds(t *testing.T) {
	q := newQuarantine()
	for i := range 3 {
		assert.False(t, q.IsConvicted(epoch, whole))
		q.Observe(epoch, end(i, epoch, whole.ID))
		assert.True(t, q.IsSuspect(whole))
	}
	assert.True(t, q.IsConvicted(epoch, whole))
}

func TestARequestThatCompletesIsClearedUnlessItIsConvicted(t *testing.T) {
	q := newQuarantine()
	for i := range 2 {
		q.Observe(epoch, end(i, epoch, whole.ID))
	}
	q.RecordCompletion(after(1), whole)
	assert.False(t, q.IsSuspect(whole))
	for i := range 3 {
		q.Observe(after(2), end(10+i, after(2), whole.ID))
	}
	q.RecordCompletion(after(3), whole)
	assert.True(t, q.IsConvicted(after(3), whole))
}

// Many callers send the same lookup, and engines end for other reasons. Each host forgot the evidence when the lookup completed, and
// got it back from another host.
func TestACompletionAtOneHostClearsARequestOnAllHosts(t *testing.T) {
	q, other := newQuarantine(), newQuarantine()
	for i := range 2 {
		e := end(i, after(float64(i)), whole.ID)
		q.Observe(e.At, e)
		other.Observe(e.At, e)
	}
	sent := q.RecordCompletion(after(2), whole)
	assert.Len(t, sent, 1)
	assert.Empty(t, q.RecordCompletion(after(3), whole), "nothing new")
	q.Merge(after(3), other.Evidence(after(3)))
	assert.False(t, q.IsSuspect(whole))
	other.Merge(after(3), Evidence{Acquittals: sent})
	assert.False(t, other.IsSuspect(whole))
	e := end(2, after(4), whole.ID)
	other.Observe(e.At, e)
	assert.Equal(t, 1, other.Crashes(whole))
}

// The same crash, seen by two hosts, was counted twice or not at all, and crashes that two hosts saw at once as one.
func TestEndsAreCountedByEngineWhicheverHostsSawThem(t *testing.T) {
	q := newQuarantine()
	for range 4 {
		q.Observe(epoch, end(1, epoch, whole.ID))
	}
	assert.Equal(t, 1, q.Crashes(whole))
	other := newQuarantine()
	other.Observe(epoch, end(2, epoch, whole.ID))
	assert.True(t, q.Merge(epoch, other.Evidence(epoch)))
	assert.Equal(t, 2, q.Crashes(whole))
	assert.False(t, q.Merge(epoch, other.Evidence(epoch)))
	restarted := end(2, epoch, whole.ID)
	restarted.Engine.Start = 5
	q.Observe(epoch, restarted)
	assert.Equal(t, 3, q.Crashes(whole), "another start of the same engine")
}

func TestAPartIsConvictedByDifferentRequestsAfterTheOthersHadTimeToAcquitIt(t *testing.T) {
	q := newQuarantine()
	crash(q, 0, 2, first, second)
	assert.False(t, q.IsConvicted(after(1.5), second))
	crash(q, 2, 1, first, second)
	assert.False(t, q.IsConvicted(after(1), second))
	assert.True(t, q.IsConvicted(after(1.05), second))
	assert.False(t, q.IsConvicted(after(1.05), first), "the ends are explained")
	assert.Equal(t, []Cause{second}, q.Verdicts(after(2)))
}

// The first parts are shared by sound requests of a whole route. They are blamed for each end.
func TestAPartWithOutputIsNotConvicted(t *testing.T) {
	for name, output := range map[string]float64{"before the ends": -5, "between them": 0.7, "after them": 1.02} {
		q := newQuarantine()
		if output < 0 {
			q.RecordOutput(after(output), first)
		}
		crash(q, 0, 2, first)
		if output >= 0 {
			assert.NotEmpty(t, q.RecordOutput(after(output), first), name)
		}
		crash(q, 2, 1, first)
		assert.False(t, q.IsConvicted(after(1.2), first), name)
	}
}

func TestOldOutputProtectsAPartForAWhileOnly(t *testing.T) {
	q := newQuarantine()
	q.RecordOutput(after(-9), first)
	q.RecordOutput(after(-0.1), third)
	crash(q, 0, 2, first) // the second one comes half a second later, within the acquittal time
	assert.Equal(t, 0, q.Crashes(first))
	q.RecordOutput(after(1.9), third)
	crash(q, 4, 3, first)
	assert.True(t, q.IsConvicted(after(4), first))
}

// All engines were down for longer than the acquittal time, and what ended them again was blamed on the part that all requests have.
func TestTimeWithoutAnyOutputDoesNotCountAgainstAPart(t *testing.T) {
	q := newQuarantine()
	q.RecordOutput(epoch, first)
	crash(q, 60, 3, first)
	assert.Equal(t, 0, q.Crashes(first))
	crash(q, 200, 3, first)
	assert.True(t, q.IsConvicted(after(102), first), "for longer than a host vouches")
}

// Engines of a rack ended together, again and again. A subject with requests at some of them each time was convicted.
func TestABurstOfEndsCountsAgainstAPartOnlyIfMostOfThemHaveIt(t *testing.T) {
	for _, c := range []struct {
		blamed      int
		isConvicted bool
	}{{blamed: 2, isConvicted: false}, {blamed: 3, isConvicted: true}} {
		q := newQuarantine()
		for i := range 18 {
			e := end(i, after(float64(i/6)), uint64(i))
			if i%6 < c.blamed {
				e = end(i, after(float64(i/6)), uint64(i), second)
			}
			q.Observe(e.At, e)
		}
		assert.Equal(t, c.isConvicted, q.IsConvicted(after(5), second), "%d of 6", c.blamed)
	}
}

func TestAVerdictEndsWithOutputOnItsPart(t *testing.T) {
	q := newQuarantine()
	crash(q, 0, 3, second)
	assert.True(t, q.IsConvicted(after(2), second))
	assert.NotEmpty(t, q.RecordOutput(after(3), second))
	assert.False(t, q.IsConvicted(after(3), second))
}

func TestAnotherHostsAcquittalIsMerged(t *testing.T) {
	q, other := newQuarantine(), newQuarantine()
	other.RecordOutput(after(-1), first)
	e := end(0, epoch, 1, first, second)
	assert.Equal(t, []Acquittal{{Cause: first, At: epoch}}, other.OwnAcquittals(epoch, e))
	crash(q, 0, 3, first)
	q.Merge(after(1.01), Evidence{Acquittals: other.OwnAcquittals(epoch, e)})
	assert.False(t, q.IsConvicted(after(2), first))
}

// A host that lost its connections to all engines alone, or with a neighbour, would convict what it had just sent.
func TestAnEndThatOtherHostsDoNotConfirmConvictsNoPart(t *testing.T) {
	for name, change := range map[string]func(*End){
		"one witness":   func(e *End) { e.Witnesses = []string{"a"} },
		"others denied": func(e *End) { e.Deniers = []string{"c", "d", "e"} },
	} {
		q := newQuarantine()
		for i := range 6 {
			e := end(i, after(float64(i)), uint64(i), second)
			change(&e)
			q.Observe(e.At, e)
		}
		assert.False(t, q.IsConvicted(after(9), second), name)
	}
	listed := newQuarantine()
	for i := range 3 {
		e := end(i, after(float64(i)), uint64(i), second)
		e.Witnesses = []string{"a"}
		listed.Observe(e.At, e)
		listed.Confirm(after(3), e.Engine.ID, "b")
	}
	assert.True(t, listed.IsConvicted(after(4), second), "the list of engines confirms the ends")
	alone := newQuarantine()
	alone.SetHosts(epoch, 1, 0)
	for i := range 3 {
		e := end(i, after(float64(i)), uint64(i), second)
		e.Witnesses = []string{"a"}
		alone.Observe(e.At, e)
	}
	assert.True(t, alone.IsConvicted(after(3), second), "the only host")
}

// A rack that loses power ends several engines at once. Requests with a new part may be waiting at all of them.
func TestEnginesThatEndTogetherConvictAPartOnlyIfTheyAreMany(t *testing.T) {
	q := newQuarantine()
	for i := range 4 {
		q.Observe(epoch, end(i, epoch, uint64(i), second))
	}
	assert.False(t, q.IsConvicted(after(1), second))
	q.Observe(epoch, end(4, epoch, 4, second))
	assert.True(t, q.IsConvicted(after(1), second))
}

func TestARequestThatCrashesEnginesDoesNotConvictItsParts(t *testing.T) {
	q := newQuarantine()
	for i := range 3 {
		at := after(float64(i))
		q.Observe(at, end(i, at, whole.ID, first, second))
	}
	assert.True(t, q.IsConvicted(after(3), whole))
	assert.False(t, q.IsConvicted(after(3), first, second))
}

func TestTwoPartsAreConvictedEachByItsOwnEnds(t *testing.T) {
	q := newQuarantine()
	for i := range 3 {
		crash(q, 2*i, 1, first, second)
		crash(q, 2*i+1, 1, first, third)
	}
	assert.True(t, q.IsConvicted(after(4), second))
	assert.True(t, q.IsConvicted(after(4), third))
	assert.False(t, q.IsConvicted(after(4), first))
}

func TestAVerdictLastsWhileRequestsComeAndAPartThatComesBackIsStoppedSooner(t *testing.T) {
	q := newQuarantine()
	crash(q, 0, 3, second)
	for minute := range 5 {
		assert.True(t, q.IsConvicted(after(float64(60*minute+50)), second))
	}
	assert.False(t, q.IsConvicted(after(60*6), second))
	at := after(60 * 7)
	q.Observe(at, end(50, at, 50, second))
	assert.True(t, q.IsConvicted(at.Add(time.Second), second))
}

func TestEvidenceIsBoundedAndExpires(t *testing.T) {
	q := newQuarantine()
	for i := range 3 * maxEnds {
		e := end(i, after(float64(i)/1000), uint64(i))
		for p := range 2 * maxBlames {
			e.Blames = append(e.Blames, Blame{Cause: Cause{Kind: Part, ID: uint64(1000*i + p)}})
		}
		q.Observe(e.At, e)
	}
	assert.Len(t, q.ends, maxEnds)
	for _, e := range q.ends {
		assert.LessOrEqual(t, len(e.blames), maxBlames)
	}
	for i := range 4 * maxAcquittals {
		q.RecordOutput(after(3), Cause{Kind: Part, ID: uint64(i)})
	}
	assert.LessOrEqual(t, len(q.acquitted.recent), maxAcquittals)
	assert.LessOrEqual(t, len(q.Evidence(after(3)).Acquittals), maxSentAcquittals)
	assert.Empty(t, q.Evidence(after(200)).Ends)
}
