// Package balancer chooses one of several equal endpoints.
package balancer

import "math/rand/v2"

// Policy chooses one of the candidates and returns its index. There is at least one candidate.
type Policy[C any] interface {
	Pick(candidates []C) int
}

// Random chooses uniformly.
type Random[C any] struct {
	Source *rand.Rand
}

// Pick returns a random index.
func (p *Random[C]) Pick(candidates []C) int { return p.Source.IntN(len(candidates)) }

// RoundRobin chooses each candidate in turn.
type RoundRobin[C any] struct {
	next int
}

// Pick returns the index after the last one.
func (p *RoundRobin[C]) Pick(candidates []C) int {
	i := p.next % len(candidates)
	p.next = i + 1
	return i
}

// TwoChoices draws two candidates and takes the one with the smaller cost.
type TwoChoices[C any] struct {
	Source *rand.Rand
	Cost   func(C) float64
}

// Pick returns the cheaper of two random indices.
func (p *TwoChoices[C]) Pick(candidates []C) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	a := p.Source.IntN(n)
	b := p.Source.IntN(n - 1)
	if b >= a {
		b++
	}
	if p.Cost(candidates[b]) < p.Cost(candidates[a]) {
		return b
	}
	return a
}
