package quarantiner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func TestTheSecondDeathConvicts(t *testing.T) {
	q := New(time.Minute, 2)
	q.RecordCrash(epoch, 1)
	assert.True(t, q.IsSuspect(1))
	assert.False(t, q.IsConvicted(1))
	q.RecordCrash(epoch, 1)
	assert.True(t, q.IsConvicted(1))
}

func TestASuspectThatFinishesIsCleared(t *testing.T) {
	q := New(time.Minute, 2)
	q.RecordCrash(epoch, 1)
	q.RecordCompletion(1)
	assert.False(t, q.IsSuspect(1))
}

func TestDeathsLearnedFromOthersCount(t *testing.T) {
	q := New(time.Minute, 2)
	q.MergeCount(epoch, 1, 1)
	q.RecordCrash(epoch, 1)
	assert.True(t, q.IsConvicted(1))
}

func TestSuspectsAreForgotten(t *testing.T) {
	q := New(time.Minute, 2)
	q.RecordCrash(epoch, 1)
	q.RecordCrash(epoch.Add(2*time.Minute), 2)
	assert.False(t, q.IsSuspect(1))
}
