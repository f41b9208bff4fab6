package packer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// took is how long an engine of the test takes for 64 tokens.
func took(runs int) time.Duration {
	return 64 * (600*time.Microsecond + time.Duration(runs)*20*time.Microsecond)
}

func TestThePaceOfAFullEngineIsToldFromNearlyIdleOnes(t *testing.T) {
	var p RateEstimator
	now := time.Unix(1_000_000, 0)
	for i := range 30 {
		runs := 1 + i%4
		p.Record(now.Add(time.Duration(i)*50*time.Millisecond), runs, 64, took(runs))
	}
	assert.InEpsilon(t, 64/took(14).Seconds(), p.Rate(14), 0.01)
}

func TestAPaceThatWasMeasuredAtOneNumberOfRunsStandsForAll(t *testing.T) {
	var p RateEstimator
	assert.Zero(t, p.Rate(5))
	p.Record(time.Unix(1_000_000, 0), 3, 64, 64*time.Millisecond)
	assert.InEpsilon(t, 1000, p.Rate(3), 0.001)
	assert.InEpsilon(t, 1000, p.Rate(30), 0.001)
}

func TestOldMeasurementsFade(t *testing.T) {
	var p RateEstimator
	now := time.Unix(1_000_000, 0)
	p.Record(now, 3, 64, 640*time.Millisecond)
	p.Record(now.Add(5*decayTime), 3, 64, 64*time.Millisecond)
	assert.InEpsilon(t, 1000, p.Rate(3), 0.1)
}
