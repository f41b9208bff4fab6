package loadgenerator

import (
	"slices"
	"strings"
	"time"
)

// Fleet describes all engines of a system, for computing its capacity and the oracle goodput.
type Fleet struct {
	PrefillEngines int
	DecodeEngines  int
	Slots          int
	// PrefillSpeed and ExportSpeed (of the KV cache) are in tokens per second and engine.
	PrefillSpeed float64
	ExportSpeed  float64
	StepTime     time.Duration
}

// Capacity returns the summaries per second of a workload that the engines can serve, limited by decode slots or prefill.
func (f Fleet) Capacity(wl Workload) float64 {
	decode := float64(f.DecodeEngines*f.Slots) / (float64(wl.OutputTokens) * f.StepTime.Seconds())
	prefillTokens := wl.PromptTokens
	if wl.Prefixes > 0 {
		prefillTokens = max(1, wl.PromptTokens-wl.PrefixTokens)
	}
	prefill := float64(f.PrefillEngines) * f.PrefillSpeed / float64(prefillTokens)
	return min(decode, prefill)
}

// OracleGoodput returns the share of the summaries of a trace that one queue with full knowledge and no delay serves within
// both targets. It places each request on the prefill engine and the slot that are free first, and drops requests at once
// that would be late.
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
		prefillTokens := tokens - cachedTokens(a.Prompt, seen)
		engine := indexOfMin(prefill)
		slot := indexOfMin(slots)
		prefillEnd := max(prefill[engine], a.At) + seconds(float64(prefillTokens)/f.PrefillSpeed)
		begin := max(prefillEnd+seconds(float64(tokens)/f.ExportSpeed), slots[slot])
		end := begin + time.Duration(a.OutputTokens)*f.StepTime
		if begin+f.StepTime-a.At > t.Start || end-a.At > t.Finish {
			continue
		}
		served++
		prefill[engine] = prefillEnd
		slots[slot] = end
	}
	return float64(served) / float64(max(1, sent))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// indexOfMin returns the index of the smallest time.
func indexOfMin(times []time.Duration) int {
	return slices.Index(times, slices.Min(times))
}

// cachedTokens returns the length of the shared prefix of a prompt if the prefix is in seen, and otherwise adds it and
// returns 0.
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
