package throttler

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// windowSteps is the number of steps of a window, which is the resolution at which it slides.
	windowSteps = 40
	// futureSteps are the steps after the present one, for permits that apply after a wait.
	futureSteps = 4
)

// part bounds what is permitted in the last steps of a window, as a share of its limit.
type part struct {
	steps int64
	share float64
}

// parts keep callers that want more than the limit from using all of it at once, after which nothing would be permitted for most of the
// window.
var parts = [...]part{{windowSteps / 8, 0.35}, {windowSteps / 4, 0.5}, {windowSteps / 2, 0.75}, {windowSteps, 1}}

// Window bounds the amounts that are permitted in any span of time of its length. Unlike a bucket that fills evenly, it permits a good part
// of what was not used earlier in the span at once.
//
// It is designed for callers with uneven load, whose quota is stated per span. It is not safe for concurrent use.
type Window struct {
	step    time.Duration
	amounts [windowSteps + futureSteps + 1]float64
	// current is the number of the present step since 1970.
	current int64
}

// NewWindow returns an empty Window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{step: max(1, length/windowSteps)}
}

func (w *Window) at(step int64) *float64 {
	n := int64(len(w.amounts))
	return &w.amounts[(step%n+n)%n]
}

// advance clears the steps that come within reach.
func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.step)
	for s := max(w.current+1, current-windowSteps); s <= current; s++ {
		*w.at(s + futureSteps) = 0
	}
	if current-w.current > windowSteps {
		clear(w.amounts[:])
	}
	w.current = max(w.current, current)
}

// firstStep returns the first step, from the present one on, at which less than limit was permitted in n steps before it and in itself.
func (w *Window) firstStep(n int64, limit float64) int64 {
	sum := 0.0
	for s := w.current - n; s <= w.current+futureSteps; s++ {
		sum += *w.at(s)
	}
	target := w.current
	for s := w.current - n; sum >= limit && s <= w.current+futureSteps; s++ {
		sum -= *w.at(s)
		target = s + n + 1
	}
	return target
}

// Permit permits an amount after wait, if less than limit was permitted in the window until then, and less than its share in each of the
// parts of the window. If wait would exceed maxWait, it permits none. The last amount may exceed the limit, so that large ones wait no
// longer than small ones.
func (w *Window) Permit(now time.Time, limit, amount float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	w.advance(now)
	target := w.current
	for _, p := range parts {
		target = max(target, w.firstStep(p.steps, p.share*limit))
	}
	if target > w.current {
		wait = time.Duration(target*int64(w.step) - now.UnixNano())
	}
	if wait > maxWait || target > w.current+futureSteps {
		return wait, false
	}
	*w.at(target) += amount
	return wait, true
}

// Add counts an amount that was sent without a permit. A negative amount was permitted and not sent; it is taken from the newest steps.
func (w *Window) Add(now time.Time, amount float64) {
	w.advance(now)
	for s := w.current + futureSteps; amount < 0 && s >= w.current-windowSteps; s-- {
		n := min(*w.at(s), -amount)
		*w.at(s) -= n
		amount += n
	}
	if amount > 0 {
		*w.at(w.current) += amount
	}
}

// Steps returns the amounts by their steps, the newest first.
func (w *Window) Steps(now time.Time) []float64 {
	w.advance(now)
	*w.at(w.current) += w.takeFuture()
	steps := make([]float64, 0, windowSteps+1)
	for s := w.current; s >= w.current-windowSteps; s-- {
		steps = append(steps, *w.at(s))
	}
	return steps
}

func (w *Window) takeFuture() float64 {
	sum := 0.0
	for s := w.current + 1; s <= w.current+futureSteps; s++ {
		sum += *w.at(s)
		*w.at(s) = 0
	}
	return sum
}

// AddSteps adds the amounts of another host's window, the newest first.
func (w *Window) AddSteps(now time.Time, steps []float64) {
	w.advance(now)
	for i, n := range steps[:min(len(steps), windowSteps+1)] {
		*w.at(w.current - int64(i)) += n
	}
}

// AddEvenly adds an amount that is spread over the whole window.
func (w *Window) AddEvenly(now time.Time, amount float64) {
	w.advance(now)
	for s := w.current - windowSteps; s <= w.current; s++ {
		*w.at(s) += amount / (windowSteps + 1)
	}
}

// Share permits the part of a common rate that a host may use on its own. The zero value has permitted nothing yet. It is not safe for
// concurrent use.
type Share struct {
	nextAt time.Time
}

// Permit permits an amount after wait to one of several hosts that use perSecond together. If wait would exceed maxWait, it permits
// none. A host that has not used its share lately waits for a part of its turn that depends on its name, so that hosts do not all send at
// once.
func (s *Share) Permit(now time.Time, host string, hosts int, perSecond, amount float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	turn := time.Duration(min(amount*float64(hosts)/perSecond, math.MaxInt32) * float64(time.Second))
	if s.nextAt.IsZero() || now.Sub(s.nextAt) > turn {
		s.nextAt = now.Add(time.Duration(phase(host) * float64(turn)))
	}
	if wait = max(0, s.nextAt.Sub(now)); wait > maxWait {
		return wait, false
	}
	s.nextAt = now.Add(wait + turn)
	return wait, true
}

// phase returns a number from 0 to 1 that differs between hosts.
func phase(host string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host))
	return float64(hash.Sum64()) / math.MaxUint64
}
