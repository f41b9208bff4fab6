package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func TestBucketReturnsTheTimeUntilTheNextToken(t *testing.T) {
	var b Bucket
	r := Rate{PerSecond: 10, Burst: 2}
	for range 2 {
		_, ok := b.Take(epoch, r)
		assert.True(t, ok)
	}
	wait, ok := b.Take(epoch, r)
	assert.False(t, ok)
	assert.Equal(t, 100*time.Millisecond, wait)
	_, ok = b.Take(epoch.Add(wait), r)
	assert.True(t, ok)
}

func TestAClockThatGoesBackAddsNoTokens(t *testing.T) {
	var b Bucket
	r := Rate{PerSecond: 10, Burst: 1}
	b.Take(epoch, r)
	_, ok := b.Take(epoch.Add(-time.Hour), r)
	assert.False(t, ok)
}

func TestRetriesCannotExceedTheirRatioToFirstAttempts(t *testing.T) {
	b := Budget{Ratio: 0.1, MaxSaved: 10}
	granted := 0
	for range 1000 {
		b.CountAttempt()
		if b.AllowRetry() {
			granted++
		}
	}
	assert.LessOrEqual(t, granted, 110)
}
