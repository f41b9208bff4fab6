package quarantiner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func TestRequestIsConvictedAtTheCrashLimit(t *testing.T) {
	q := New(time.Minute, 2)
	q.RecordCrash(epoch, 1)
	assert.True(t, q.IsSuspect(1))
	assert.False(t, q.IsConvicted(1))
	q.RecordCrash(epoch, 1)
	assert.True(t, q.IsConvicted(1))
}

func TestSuspectThatCompletesIsCleared(t *testing.T) {
	q := New(time.Minute, 2)
	q.RecordCrash(epoch, 1)
	q.RecordCompletion(1)
	assert.False(t, q.IsSuspect(1))
}

func TestCountsOfOtherHostsAddUpWithLocalCrashes(t *testing.T) {
	q := New(time.Minute, 2)
	q.MergeCount(epoch, 1, 1)
	q.RecordCrash(epoch, 1)
	assert.True(t, q.IsConvicted(1))
}

func TestSuspectsExpireAfterTheRetention(t *testing.T) {
	q := New(time.Minute, 2)
	q.RecordCrash(epoch, 1)
	q.RecordCrash(epoch.Add(2*time.Minute), 2)
	assert.False(t, q.IsSuspect(1))
}
