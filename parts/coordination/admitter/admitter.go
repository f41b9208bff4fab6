// Package admitter predicts whether a request can meet its latency targets and refuses at once those that cannot.
package admitter

import "time"

// Targets are the time to the first token and the time to the last.
type Targets struct {
	Start  time.Duration
	Finish time.Duration
}

// Estimate is what is known of the way of a request. Token counts are of the prompt, Rate is in tokens per second.
type Estimate struct {
	// Wait is the time before the prefill engine begins with this prompt.
	Wait time.Duration
	// Tokens is the length of the prompt, Cached the part of it that the engine need not read.
	Tokens       int
	CachedTokens int
	Rate         float64
	// Transfer is the time from the end of the prefill to the first token.
	Transfer time.Duration
	// Output is the number of tokens to be made, Step the time for each.
	OutputTokens int
	StepTime     time.Duration
}

// Prefill returns the time to read the prompt.
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

// Decide tells whether both targets can be met, and otherwise how long the backlog needs to shrink enough.
func Decide(e Estimate, t Targets) (retryAfter time.Duration, ok bool) {
	late := max(e.Start()-t.Start, e.Finish()-t.Finish)
	if late <= 0 {
		return 0, true
	}
	return late, false
}
