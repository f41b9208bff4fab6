package limiter

import "time"

// windowSteps is the number of counters that cover a window, and the resolution at which it slides.
const windowSteps = 20

// Window allows additional sends in proportion to the requests in a sliding window. It is not safe for concurrent use.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of additional sends that each request in the window allows.
	Ratio float64

	requests [windowSteps]float64
	extras   [windowSteps]float64
	step     int64
}

// advance clears the steps that have left the window and returns the index of the current one.
func (w *Window) advance(now time.Time) int {
	step := now.UnixNano() / int64(w.Span/(windowSteps-1))
	for i := max(w.step+1, step-windowSteps+1); i <= step; i++ {
		w.requests[i%windowSteps] = 0
		w.extras[i%windowSteps] = 0
	}
	w.step = max(w.step, step)
	return int(w.step % windowSteps)
}

// AddRequest counts a request, which raises the number of additional sends by Ratio.
func (w *Window) AddRequest(now time.Time) { w.requests[w.advance(now)]++ }

// TryExtra counts one additional send if the window allows it. slack is a constant allowance on top of Ratio.
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

// AddExtra counts an additional send without checking the limit.
func (w *Window) AddExtra(now time.Time) { w.extras[w.advance(now)]++ }
