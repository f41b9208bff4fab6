// Package admitter predicts whether a request can meet its latency targets, so that those that cannot are refused early.
package admitter

import "time"

// Targets are the latency targets of a request: the time to the first token and to the last token.
type Targets struct {
	Start  time.Duration
	Finish time.Duration
}

// Estimate holds the inputs of the latency prediction for one request. Rate is the prefill rate in tokens per second.
type Estimate struct {
	// Wait is the queueing time at the prefill engine.
	Wait time.Duration
	// Tokens is the length of the prompt, CachedTokens the length of its prefix that the engine has cached.
	Tokens       int
	CachedTokens int
	Rate         float64
	// Transfer is the time from the end of the prefill to the first token.
	Transfer time.Duration
	// OutputTokens is the number of tokens to generate, StepTime the time for each.
	OutputTokens int
	StepTime     time.Duration
}

// Prefill returns the predicted processing time of the part of the prompt that is not cached, 0 if the rate is unknown.
func (e Estimate) Prefill() time.Duration {
	if e.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(max(0, e.Tokens-e.CachedTokens)) / e.Rate * float64(time.Second))
}

// Start returns the predicted time to the first token.
func (e Estimate) Start() time.Duration {
	return e.Wait + e.Prefill() + e.Transfer
}

// Finish returns the predicted time to the last token.
func (e Estimate) Finish() time.Duration {
	return e.Start() + time.Duration(max(0, e.OutputTokens-1))*e.StepTime
}

// Decide reports whether both targets can be met. If not, retryAfter is the larger excess over a target, which is the time
// that the backlog needs to shrink enough.
func Decide(e Estimate, t Targets) (retryAfter time.Duration, ok bool) {
	excess := max(e.Start()-t.Start, e.Finish()-t.Finish)
	if excess <= 0 {
		return 0, true
	}
	return excess, false
}
