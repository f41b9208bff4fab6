// Package loadgenerator generates an open-loop load from a seed, sends it and counts the outcomes.
package loadgenerator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Class is a kind of request with counts of its own.
type Class string

// Summaries are streamed generations, lookups idempotent calls of a service, at-most-once calls carry an idempotency key.
const (
	Summary Class = "summary"
	Lookup  Class = "lookup"
	Once    Class = "once"
)

// Classes lists all classes in the order of output.
var Classes = []Class{Summary, Lookup, Once}

// Workload describes a load. Rates are in requests per second. PromptTokens and OutputTokens are means.
type Workload struct {
	Seed         uint64
	Duration     time.Duration
	SummaryRate  float64
	LookupRate   float64
	OnceRate     float64
	PromptTokens int
	OutputTokens int
	Prefixes     int
	PrefixTokens int
	// CancelShare is the share of summaries whose caller disconnects before the end.
	CancelShare float64
	// CrashInterval is the time between requests that crash engines, 0 for none.
	CrashInterval time.Duration
	// CrashWord in a prompt crashes every engine that runs it.
	CrashWord string
}

// Arrival is one request of a trace. At counts from the start of the load. IsCrash requests crash engines and are not
// counted.
type Arrival struct {
	At           time.Duration
	Class        Class
	Number       int
	Prompt       string
	OutputTokens int
	IsCancelled  bool
	IsCrash      bool
}

// Trace returns the arrivals of a workload in order of time. The same workload gives the same trace.
func Trace(wl Workload) []Arrival {
	var trace []Arrival
	for i, stream := range []struct {
		class Class
		rate  float64
	}{{Summary, wl.SummaryRate}, {Lookup, wl.LookupRate}, {Once, wl.OnceRate}} {
		random := rand.New(rand.NewPCG(wl.Seed, uint64(i)))
		trace = mergeByTime(trace, drawArrivals(wl, stream.class, stream.rate, random))
	}
	return mergeByTime(trace, crashArrivals(wl))
}

// drawArrivals draws the arrivals of one class from a Poisson process.
func drawArrivals(wl Workload, class Class, rate float64, random *rand.Rand) []Arrival {
	var list []Arrival
	if rate <= 0 {
		return list
	}
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= wl.Duration {
			return list
		}
		a := Arrival{At: at, Class: class, Number: n}
		if class == Summary {
			a.Prompt = newPrompt(wl, n, random)
			a.OutputTokens = drawLength(wl.OutputTokens, random)
			a.IsCancelled = random.Float64() < wl.CancelShare
		}
		list = append(list, a)
	}
}

func crashArrivals(wl Workload) []Arrival {
	var list []Arrival
	if wl.CrashInterval <= 0 {
		return list
	}
	for at := wl.CrashInterval / 2; at < wl.Duration; at += wl.CrashInterval {
		n := len(list)
		list = append(list, Arrival{
			At: at, Class: Summary, Number: -1 - n, OutputTokens: wl.OutputTokens, IsCrash: true,
			Prompt: fmt.Sprintf("%s %d %d", wl.CrashWord, wl.Seed, n),
		})
	}
	return list
}

// drawLength draws uniformly between 0.5 and 1.5 times mean, at least 1.
func drawLength(mean int, random *rand.Rand) int {
	return max(1, mean/2+random.IntN(mean+1))
}

// newPrompt returns a prompt of one of the shared prefixes, if there are any, followed by unique words.
func newPrompt(wl Workload, n int, random *rand.Rand) string {
	var b strings.Builder
	size := drawLength(wl.PromptTokens, random)
	if wl.Prefixes > 0 {
		p := random.IntN(wl.Prefixes)
		for i := range min(size, wl.PrefixTokens) {
			fmt.Fprintf(&b, "p%d.%d ", p, i)
		}
		size = max(1, size-wl.PrefixTokens)
	}
	for i := range size {
		fmt.Fprintf(&b, "s%d.%d.%d ", wl.Seed, n, i)
	}
	return b.String()
}

func mergeByTime(a, b []Arrival) []Arrival {
	list := make([]Arrival, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].At <= b[0].At {
			list = append(list, a[0])
			a = a[1:]
			continue
		}
		list = append(list, b[0])
		b = b[1:]
	}
	return append(append(list, a...), b...)
}
