package packer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// took returns the time for 64 tokens on an engine with the given number of runs.
func took(runs int) time.Duration {
	return 64 * (600*time.Microsecond + time.Duration(runs)*20*time.Microsecond)
}

func TestTheRateOfAFullEngineIsPredictedFromNearlyIdleOnes(t *testing.T) {
	var re RateEstimator
	now := time.Unix(1_000_000, 0)
	for i := range 30 {
		runs := 1 + i%4
		re.Record(now.Add(time.Duration(i)*50*time.Millisecond), runs, 64, took(runs))
	}
	assert.InEpsilon(t, 64/took(14).Seconds(), re.Rate(14), 0.01)
}

func TestARateMeasuredAtOneNumberOfRunsIsUsedForAllNumbers(t *testing.T) {
	var re RateEstimator
	assert.Zero(t, re.Rate(5))
	re.Record(time.Unix(1_000_000, 0), 3, 64, 64*time.Millisecond)
	assert.InEpsilon(t, 1000, re.Rate(3), 0.001)
	assert.InEpsilon(t, 1000, re.Rate(30), 0.001)
}

func TestOldMeasurementsLoseWeight(t *testing.T) {
	var re RateEstimator
	now := time.Unix(1_000_000, 0)
	re.Record(now, 3, 64, 640*time.Millisecond)
	re.Record(now.Add(5*decayTime), 3, 64, 64*time.Millisecond)
	assert.InEpsilon(t, 1000, re.Rate(3), 0.1)
}
