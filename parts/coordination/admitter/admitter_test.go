package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestARequestThatCannotMeetATargetIsRefusedWithTheExcessTime(t *testing.T) {
	e := Estimate{Wait: 450 * time.Millisecond, Tokens: 1000, Rate: 20000, OutputTokens: 100, StepTime: 10 * time.Millisecond}
	_, ok := Decide(e, Targets{Start: 600 * time.Millisecond, Finish: 2 * time.Second})
	assert.True(t, ok)
	after, ok := Decide(e, Targets{Start: 390 * time.Millisecond, Finish: 2 * time.Second})
	assert.False(t, ok)
	assert.Equal(t, 110*time.Millisecond, after)
	_, ok = Decide(e, Targets{Start: 600 * time.Millisecond, Finish: time.Second})
	assert.False(t, ok)
}

func TestACachedPrefixTakesNoPrefillTime(t *testing.T) {
	e := Estimate{Tokens: 1000, CachedTokens: 1000, Rate: 1000, StepTime: time.Millisecond, OutputTokens: 1}
	assert.Zero(t, e.Start())
}
