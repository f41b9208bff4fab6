// Package loader sends an open-loop load of a seed and counts what became of it.
package loader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Class is a kind of request.
type Class string

// The classes.
const (
	Summary Class = "summary"
	Lookup  Class = "lookup"
	Once    Class = "once"
)

// Classes lists all classes.
var Classes = []Class{Summary, Lookup, Once}

// Shape is the form of a load. Rates are in requests per second, lengths in tokens.
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
	// Cancel is the share of summaries whose caller leaves half way.
	CancelShare float64
	// Poison is the time between requests that crash engines, 0 for none.
	CrashInterval time.Duration
	// PoisonWord makes a request crash the engines that run it.
	CrashWord string
}

// Arrival is one request of a trace. At counts from the start of the load.
type Arrival struct {
	At           time.Duration
	Class        Class
	Number       int
	Prompt       string
	OutputTokens int
	IsCancelled  bool
	IsCrash      bool
}

// Trace returns the arrivals of a shape in order of time. The same shape gives the same trace.
func Trace(s Workload) []Arrival {
	var trace []Arrival
	for i, stream := range []struct {
		class Class
		rate  float64
	}{{Summary, s.SummaryRate}, {Lookup, s.LookupRate}, {Once, s.OnceRate}} {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		trace = mergeByTime(trace, drawArrivals(s, stream.class, stream.rate, random))
	}
	return mergeByTime(trace, crashArrivals(s))
}

// arrivals draws a Poisson process of one class.
func drawArrivals(s Workload, class Class, rate float64, random *rand.Rand) []Arrival {
	var list []Arrival
	if rate <= 0 {
		return list
	}
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= s.Duration {
			return list
		}
		a := Arrival{At: at, Class: class, Number: n}
		if class == Summary {
			a.Prompt = newPrompt(s, n, random)
			a.OutputTokens = drawLength(s.OutputTokens, random)
			a.IsCancelled = random.Float64() < s.CancelShare
		}
		list = append(list, a)
	}
}

func crashArrivals(s Workload) []Arrival {
	var list []Arrival
	if s.CrashInterval <= 0 {
		return list
	}
	for at := s.CrashInterval / 2; at < s.Duration; at += s.CrashInterval {
		n := len(list)
		list = append(list, Arrival{
			At: at, Class: Summary, Number: -1 - n, OutputTokens: s.OutputTokens, IsCrash: true,
			Prompt: fmt.Sprintf("%s %d %d", s.CrashWord, s.Seed, n),
		})
	}
	return list
}

// vary draws from half to one and a half of mean.
func drawLength(mean int, random *rand.Rand) int {
	return max(1, mean/2+random.IntN(mean+1))
}

// prompt is one of some shared prefixes and words of its own.
func newPrompt(s Workload, n int, random *rand.Rand) string {
	var b strings.Builder
	size := drawLength(s.PromptTokens, random)
	if s.Prefixes > 0 {
		p := random.IntN(s.Prefixes)
		for i := range min(size, s.PrefixTokens) {
			fmt.Fprintf(&b, "p%d.%d ", p, i)
		}
		size = max(1, size-s.PrefixTokens)
	}
	for i := range size {
		fmt.Fprintf(&b, "s%d.%d.%d ", s.Seed, n, i)
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
