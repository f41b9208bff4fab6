package stager

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

// idlePrefillEngines returns a load limited by memory, with three prefill engines of nine, used to a third.
func idlePrefillEngines() Load {
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

func TestAnIdlePrefillEngineMovesToDecodeIfMemoryIsTheBottleneck(t *testing.T) {
	var s Stager
	assertMove(t, ToDecode, 1, &s, epoch, idlePrefillEngines())
}

func TestNoEngineMovesBeforeBothStagesAreMeasured(t *testing.T) {
	var s Stager
	l := idlePrefillEngines()
	l.RunSamples = minSamples - 1
	assertMove(t, Stay, 0, &s, epoch, l)
}

func TestASmallGainCausesNoMove(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 2, DecodeEngines: 7, PrefillTime: 102 * time.Millisecond, RunTime: 3500 * time.Millisecond, RunsPerEngine: 12,
		PrefillSamples: 300, RunSamples: 300,
	}
	assert.Greater(t, l.Throughput(3), 1.05*l.Throughput(2), "without a minimum gain the split oscillated in a benchmark scenario")
	assertMove(t, Stay, 0, &s, epoch, l)
}

func TestTwoPrefillEnginesStaySoThatOneMayFail(t *testing.T) {
	var s Stager
	l := idlePrefillEngines()
	l.PrefillEngines, l.DecodeEngines, l.PrefillTime = 2, 7, time.Millisecond
	assertMove(t, Stay, 0, &s, epoch, l)
}

func TestAMissingPrefillEngineIsReplacedBeforeAnythingIsMeasured(t *testing.T) {
	var s Stager
	assertMove(t, ToPrefill, 1, &s, epoch, Load{PrefillEngines: 1, DecodeEngines: 7})
	assertMove(t, Stay, 0, &s, epoch, Load{PrefillEngines: 1, DecodeEngines: 2})
	assertMove(t, ToPrefill, 1, &s, epoch, Load{PrefillEngines: 0, DecodeEngines: 2})
}

func TestLongPromptsMoveEnginesToPrefill(t *testing.T) {
	var s Stager
	l := idlePrefillEngines()
	l.PrefillEngines, l.DecodeEngines, l.PrefillTime, l.RunTime = 2, 7, 400*time.Millisecond, 500*time.Millisecond
	assertMove(t, ToPrefill, 6, &s, epoch, l)
}

func TestNoOrderIsGivenDuringTheCooldownAfterAnother(t *testing.T) {
	var s Stager
	s.RecordMove(epoch, 6*time.Second)
	assertMove(t, Stay, 0, &s, epoch.Add(8*time.Second), idlePrefillEngines())
	assertMove(t, ToDecode, 1, &s, epoch.Add(9*time.Second), idlePrefillEngines())
}

func TestAnOrderThatCouldNotBeDeliveredIsRetriedAfterTheRetryDelay(t *testing.T) {
	var s Stager
	s.RecordMove(epoch, 6*time.Second)
	s.RecordMoveFailure(epoch)
	assertMove(t, ToDecode, 1, &s, epoch.Add(retryDelay), idlePrefillEngines())
}

// Moving a single engine of 44 never gains enough to justify a change; moving to the best split does.
func TestAllEnginesThatCanBeSparedMoveAtOnce(t *testing.T) {
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

func TestDecodeEnginesThatCannotBeSparedMoveOneByOne(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 2, DecodeEngines: 7, PrefillTime: 200 * time.Millisecond, RunTime: 4 * time.Second, RunsPerEngine: 8, PrefillSamples: 300, RunSamples: 300,
	}
	assertMove(t, ToPrefill, 1, &s, epoch, l)
}

// Two crashed prefill engines were still listed beside their replacements. The two remaining ones were moved to the decode
// stage, and there was no prefill engine for 18 seconds.
func TestFailingPrefillEnginesDoNotCountAsSpare(t *testing.T) {
	var s Stager
	l := Load{
		PrefillEngines: 4, DecodeEngines: 7, PrefillTime: 90 * time.Millisecond, RunTime: 4479 * time.Millisecond, RunsPerEngine: 11,
		PrefillSamples: 128, RunSamples: 136,
	}
	assertMove(t, ToDecode, 2, &s, epoch, l)
	l.FailingPrefillEngines = 2
	assertMove(t, Stay, 0, &s, epoch, l)
}
