// Package estimator predicts the memory that a generation will need.
package estimator

// Demand describes a generation before it starts.
type Demand struct {
	// Prompt, Hint and MaxOutput are numbers of tokens. Hint is 0 if the caller gives none.
	Prompt    int
	Hint      int
	MaxOutput int
}

const (
	// hintFactor is how much of the hinted output is reserved.
	hintFactor = 2.0
	// margin is what is reserved besides, in tokens, for short hints that are far off.
	hintMargin = 256
	// defaultShare is the part of the longest output that is reserved without a hint.
	maxOutputShare = 0.6
)

// Need returns the tokens to reserve for d.
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
