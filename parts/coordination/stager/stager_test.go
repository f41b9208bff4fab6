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
		Readers: 3, Generators: 6, ReadTime: 95 * time.Millisecond, RunTime: 3500 * time.Millisecond, Fit: 9,
		Read: 30, Ended: 30,
	}
}

func TestAnIdleReaderGeneratesWhereMemoryBinds(t *testing.T) {
	var s Stager
	assert.Equal(t, ToDecode, s.Decide(epoch, idleReaders()))
}

func TestNothingMovesBeforeBothStagesWereMeasured(t *testing.T) {
	var s Stager
	l := idleReaders()
	l.Ended = leastSamples - 1
	assert.Equal(t, Stay, s.Decide(epoch, l))
}

func TestASmallGainIsNotWorthASwitch(t *testing.T) {
	var s Stager
	l := Load{
		Readers: 2, Generators: 7, ReadTime: 102 * time.Millisecond, RunTime: 3500 * time.Millisecond, Fit: 12,
		Read: 300, Ended: 300,
	}
	assert.Greater(t, l.Rate(3), 1.05*l.Rate(2), "a split that went to and fro on a day of the bench")
	assert.Equal(t, Stay, s.Decide(epoch, l))
}

func TestTheLastReadersStaySoThatOneMayFail(t *testing.T) {
	var s Stager
	l := idleReaders()
	l.Readers, l.Generators, l.ReadTime = 2, 7, time.Millisecond
	assert.Equal(t, Stay, s.Decide(epoch, l))
}

func TestALostReaderIsReplacedBeforeAnythingIsMeasured(t *testing.T) {
	var s Stager
	assert.Equal(t, ToPrefill, s.Decide(epoch, Load{Readers: 1, Generators: 7}))
	assert.Equal(t, Stay, s.Decide(epoch, Load{Readers: 1, Generators: 2}))
	assert.Equal(t, ToPrefill, s.Decide(epoch, Load{Readers: 0, Generators: 2}))
}

func TestLongPromptsHaveMoreEnginesRead(t *testing.T) {
	var s Stager
	l := idleReaders()
	l.Readers, l.Generators, l.ReadTime, l.RunTime = 2, 7, 400*time.Millisecond, 500*time.Millisecond
	assert.Equal(t, ToPrefill, s.Decide(epoch, l))
}

func TestOneOrderFollowsAnotherOnlyAfterTheSwitch(t *testing.T) {
	var s Stager
	s.Ordered(epoch, 6*time.Second)
	assert.Equal(t, Stay, s.Decide(epoch.Add(8*time.Second), idleReaders()))
	assert.Equal(t, ToDecode, s.Decide(epoch.Add(9*time.Second), idleReaders()))
}

func TestAnOrderThatCouldNotBeGivenIsSoonTriedAgain(t *testing.T) {
	var s Stager
	s.Ordered(epoch, 6*time.Second)
	s.NotOrdered(epoch)
	assert.Equal(t, ToDecode, s.Decide(epoch.Add(retry), idleReaders()))
}
