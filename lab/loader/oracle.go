package loader

import (
	"slices"
	"strings"
	"time"
)

// Fleet is the sum of a system's engines, as one all-knowing queue would use them.
type Fleet struct {
	PrefillEngines int
	DecodeEngines  int
	Slots          int
	// Rate is the prefill speed of one engine in tokens per second, LinkRate that of its KV export.
	PrefillSpeed float64
	ExportSpeed  float64
	StepTime     time.Duration
}

// Capacity returns the summaries per second that decode slots, or else prefill, can bear for a shape.
func (f Fleet) Capacity(s Workload) float64 {
	decode := float64(f.DecodeEngines*f.Slots) / (float64(s.OutputTokens) * f.StepTime.Seconds())
	read := s.PromptTokens
	if s.Prefixes > 0 {
		read = max(1, s.PromptTokens-s.PrefixTokens)
	}
	prefill := float64(f.PrefillEngines) * f.PrefillSpeed / float64(read)
	return min(decode, prefill)
}

// Oracle returns the share of a trace's summaries that one queue with full knowledge and no delay serves within both
// targets. It gives each request to the prefill engine and the slot that are free first, and drops at once those that
// would be late.
func OracleGoodput(trace []Arrival, f Fleet, t Targets) float64 {
	prefill := make([]time.Duration, f.PrefillEngines)
	slots := make([]time.Duration, f.DecodeEngines*f.Slots)
	seen := make(map[string]bool)
	sent, served := 0, 0
	for _, a := range trace {
		if a.Class != Summary || a.IsCancelled || a.IsCrash {
			continue
		}
		sent++
		tokens := len(strings.Fields(a.Prompt))
		read := tokens - cachedTokens(a.Prompt, seen)
		engine := indexOfMin(prefill)
		slot := indexOfMin(slots)
		readEnd := max(prefill[engine], a.At) + seconds(float64(read)/f.PrefillSpeed)
		begin := max(readEnd+seconds(float64(tokens)/f.ExportSpeed), slots[slot])
		end := begin + time.Duration(a.OutputTokens)*f.StepTime
		if begin+f.StepTime-a.At > t.Start || end-a.At > t.Finish {
			continue
		}
		served++
		prefill[engine] = readEnd
		slots[slot] = end
	}
	return float64(served) / float64(max(1, sent))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// index returns the place of the smallest time.
func indexOfMin(times []time.Duration) int {
	return slices.Index(times, slices.Min(times))
}

// cachedTokens returns the length of the shared prefix of a prompt if it was seen before.
func cachedTokens(prompt string, seen map[string]bool) int {
	words := strings.Fields(prompt)
	n := 0
	for n < len(words) && strings.HasPrefix(words[n], "p") {
		n++
	}
	if n == 0 {
		return 0
	}
	if !seen[words[0]] {
		seen[words[0]] = true
		return 0
	}
	return n
}
