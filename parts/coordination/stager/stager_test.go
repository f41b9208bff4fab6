package stager

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

// idleReaders is a load in which memory binds while three of nine engines read and are a third used.
func idleReaders() Load {
	return Load{
		PrefillEngines: 3, DecodeEngines: 6, PrefillTime: 95 * time.Millisecond, RunTime: 3500 * time.Millisecond, RunsPerEngine: 9,
		PrefillSamples: 30, RunSamples: 30,
	}
}

func assertMove(t *testing.T, move Move, n int, s *Stager, now time.Time, l Load) {
	t.Helper()
	gotMove, got := s.Decide(now, l)
	assert.Equal(t, move, gotMove)
	assert.Equal(t, n, got)
}

func TestAnIdleReaderGeneratesWhereMemoryBinds(t *testing.T) {
	var s Stager
	assertMove(t, ToDecode, 1, &s, epoch, idleReaders())
}

func TestNothingMovesBeforeBothStagesWereMeasured(t *testing.T) {
	var s Stager
	l := idleReaders()
	l.RunSamples = minSamples - 1
	assertMove(t, Stay, 0, &s, epoch, l)
}

func TestASmallGainIsNotWorthASwitch(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 2, DecodeEngines: 7, PrefillTime: 102 * time.Millisecond, RunTime: 3500 * time.Millisecond, RunsPerEngine: 12,
		PrefillSamples: 300, RunSamples: 300,
	}
	assert.Greater(t, l.Throughput(3), 1.05*l.Throughput(2), "a split that went to and fro on a day of the bench")
	assertMove(t, Stay, 0, &s, epoch, l)
}

func TestTheLastReadersStaySoThatOneMayFail(t *testing.T) {
	var s Stager
	l := idleReaders()
	l.PrefillEngines, l.DecodeEngines, l.PrefillTime = 2, 7, time.Millisecond
	assertMove(t, Stay, 0, &s, epoch, l)
}

func TestALostReaderIsReplacedBeforeAnythingIsMeasured(t *testing.T) {
	var s Stager
	assertMove(t, ToPrefill, 1, &s, epoch, Load{PrefillEngines: 1, DecodeEngines: 7})
	assertMove(t, Stay, 0, &s, epoch, Load{PrefillEngines: 1, DecodeEngines: 2})
	assertMove(t, ToPrefill, 1, &s, epoch, Load{PrefillEngines: 0, DecodeEngines: 2})
}

func TestLongPromptsHaveMoreEnginesRead(t *testing.T) {
	var s Stager
	l := idleReaders()
	l.PrefillEngines, l.DecodeEngines, l.PrefillTime, l.RunTime = 2, 7, 400*time.Millisecond, 500*time.Millisecond
	assertMove(t, ToPrefill, 6, &s, epoch, l)
}

func TestOneOrderFollowsAnotherOnlyAfterTheSwitch(t *testing.T) {
	var s Stager
	s.RecordMove(epoch, 6*time.Second)
	assertMove(t, Stay, 0, &s, epoch.Add(8*time.Second), idleReaders())
	assertMove(t, ToDecode, 1, &s, epoch.Add(9*time.Second), idleReaders())
}

func TestAnOrderThatCouldNotBeGivenIsSoonTriedAgain(t *testing.T) {
	var s Stager
	s.RecordMove(epoch, 6*time.Second)
	s.RecordMoveFailure(epoch)
	assertMove(t, ToDecode, 1, &s, epoch.Add(retryDelay), idleReaders())
}

// A single engine of 44 never gains enough to be worth a switch; the best split does.
func TestAllEnginesThatAreNotMissedMoveAtOnce(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 15, DecodeEngines: 29, PrefillTime: 95 * time.Millisecond, RunTime: 3500 * time.Millisecond, RunsPerEngine: 9, PrefillSamples: 300, RunSamples: 300,
	}
	assert.Less(t, l.Throughput(14), minGain*l.Throughput(15))
	assertMove(t, ToDecode, 6, &s, epoch, l)
	l.PrefillEngines, l.DecodeEngines = 2, 42
	l.PrefillTime, l.RunTime = 400*time.Millisecond, 500*time.Millisecond
	assertMove(t, ToPrefill, 36, &s, epoch, l)
}

func TestGeneratorsThatAreMissedStopOneByOne(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 2, DecodeEngines: 7, PrefillTime: 200 * time.Millisecond, RunTime: 4 * time.Second, RunsPerEngine: 8, PrefillSamples: 300, RunSamples: 300,
	}
	assertMove(t, ToPrefill, 1, &s, epoch, l)
}

// Two readers crashed and were listed on beside the engines that started in their place. Two that were left were moved, and
// nobody read for eighteen seconds.
func TestReadersThatMayBeGoneLetNoOtherGo(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 4, DecodeEngines: 7, PrefillTime: 90 * time.Millisecond, RunTime: 4479 * time.Millisecond, RunsPerEngine: 11,
		PrefillSamples: 128, RunSamples: 136,
	}
	assertMove(t, ToDecode, 2, &s, epoch, l)
	l.FailingPrefillEngines = 2
	assertMove(t, Stay, 0, &s, epoch, l)
}
