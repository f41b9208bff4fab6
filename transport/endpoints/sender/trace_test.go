package sender

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAKeyThatIsSetAgainAppearsOnceWithItsNewestValue(t *testing.T) {
	var trace Trace
	trace.Set("endpoint", "first")
	trace.Set("events", 3)
	trace.Set("endpoint", "second")
	trace.Step("went on at %s", "second")
	assert.Equal(t, []any{"endpoint", "second", "events", 3, "steps", "went on at second"}, trace.Pairs())
}
