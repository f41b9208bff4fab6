package limiter

import "time"

// parts is the number of steps in which a window moves on.
const windowSteps = 20

// Window allows extra sends in proportion to requests over a sliding time. It is not safe for concurrent use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of extra sends that each request in the window pays for.
	Ratio float64

	requests [windowSteps]float64
	extras   [windowSteps]float64
	step     int64
}

// advance empties the steps that have left the window.
func (w *Window) advance(now time.Time) int {
	step := now.UnixNano() / int64(w.Span/(windowSteps-1))
	for i := max(w.step+1, step-windowSteps+1); i <= step; i++ {
		w.requests[i%windowSteps] = 0
		w.extras[i%windowSteps] = 0
	}
	w.step = max(w.step, step)
	return int(w.step % windowSteps)
}

// Request counts a request.
func (w *Window) AddRequest(now time.Time) { w.requests[w.advance(now)]++ }

// Extra takes one extra send if the window has room for it; slack is what it allows besides the ratio.
func (w *Window) TryExtra(now time.Time, slack float64) bool {
	at := w.advance(now)
	requests, extras := 0.0, 0.0
	for i := range windowSteps {
		requests += w.requests[i]
		extras += w.extras[i]
	}
	if extras+1 > w.Ratio*requests+slack {
		return false
	}
	w.extras[at]++
	return true
}

// Charge counts an extra send that was made without asking.
func (w *Window) AddExtra(now time.Time) { w.extras[w.advance(now)]++ }
