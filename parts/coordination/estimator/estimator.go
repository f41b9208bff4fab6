// Package estimator estimates the memory to reserve for a run.
package estimator

// Demand describes a run before it starts.
type Demand struct {
	// Prompt, Hint and MaxOutput are numbers of tokens. Hint is 0 if the caller gives none.
	Prompt    int
	Hint      int
	MaxOutput int
}

const (
	// hintFactor is the reservation as a multiple of the hinted output.
	hintFactor = 2.0
	// hintMargin is reserved in addition, in tokens, because the relative error of short hints is large.
	hintMargin = 256
	// maxOutputShare is the share of the longest output that is reserved without a hint.
	maxOutputShare = 0.6
)

// ReservedTokens returns the tokens to reserve for d, prompt included.
func ReservedTokens(d Demand) int {
	output := int(maxOutputShare * float64(d.MaxOutput))
	if d.Hint > 0 {
		output = int(hintFactor*float64(d.Hint)) + hintMargin
	}
	if d.MaxOutput > 0 {
		output = min(output, d.MaxOutput)
	}
	return d.Prompt + output
}
