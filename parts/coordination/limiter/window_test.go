package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestAdditionalSendsStayWithinRatioAndSlackInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, slack = 10 * time.Second, 0.2, 5.0
		w := Window{Span: span, Ratio: ratio}
		var requests, extras []time.Time
		now := epoch
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				w.AddRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.TryExtra(now, slack) {
				extras = append(extras, now)
			}
			since := now.Add(-span)
			// Requests of the preceding window count too: the external check of this limit allows for them.
			allowed := ratio*float64(after(requests, since.Add(-span))) + slack
			assert.LessOrEqual(t, float64(after(extras, since)), allowed)
		}
	})
}

func after(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}

func TestAnUncheckedSendCountsAgainstTheLimit(t *testing.T) {
	w := Window{Span: time.Second, Ratio: 0}
	w.AddExtra(epoch)
	assert.False(t, w.TryExtra(epoch, 1))
	assert.True(t, w.TryExtra(epoch.Add(2*time.Second), 1))
}
