package ejector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func TestOneFailureDoesNotEject(t *testing.T) {
	var h Health
	h.RecordFailure(epoch)
	assert.False(t, h.IsEjected(epoch))
	h.RecordFailure(epoch)
	assert.True(t, h.IsEjected(epoch))
}

func TestARefusedConnectionEjectsAtOnce(t *testing.T) {
	var h Health
	h.RecordConnectFailure(epoch)
	assert.True(t, h.IsEjected(epoch))
}

func TestTheEjectionTimeGrowsWithFailuresUpToAMaximum(t *testing.T) {
	var h Health
	for range 10 {
		h.RecordConnectFailure(epoch)
	}
	assert.True(t, h.IsEjected(epoch.Add(maxEjectionTime-1)))
	assert.False(t, h.IsEjected(epoch.Add(maxEjectionTime)))
}

func TestACompleteAnswerEndsTheEjection(t *testing.T) {
	var h Health
	h.RecordConnectFailure(epoch)
	h.RecordSuccess(time.Millisecond)
	assert.False(t, h.IsEjected(epoch))
}

func TestSlowAndFailingEndpointsCostMore(t *testing.T) {
	var good, slow, failing Health
	for range 50 {
		good.RecordSuccess(10 * time.Millisecond)
		slow.RecordSuccess(50 * time.Millisecond)
		failing.RecordErrorResponse(10 * time.Millisecond)
	}
	assert.Greater(t, slow.Cost(0, time.Second), 4*good.Cost(0, time.Second))
	assert.Greater(t, failing.Cost(0, time.Second), 10*good.Cost(0, time.Second))
	assert.Greater(t, good.Cost(3, time.Second), good.Cost(0, time.Second))
}

func TestAnEndpointIsFailingUntilACallOfAnyHostSucceeds(t *testing.T) {
	var h Health
	h.RecordFailure(epoch)
	assert.False(t, h.IsFailing(), "a single failure may be transient")
	h.RecordFailure(epoch)
	assert.True(t, h.IsFailing())
	assert.True(t, h.IsFailing(), "still failing when it is called again")
	h.ClearFailures()
	assert.False(t, h.IsFailing())
	assert.False(t, h.IsEjected(epoch))
}
