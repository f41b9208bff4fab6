// Package balancer provides load balancing policies for equivalent endpoints.
package balancer

import "math/rand/v2"

// Policy picks one of the candidates and returns its index. There must be at least one candidate.
type Policy[C any] interface {
	Pick(candidates []C) int
}

// Random picks uniformly at random.
type Random[C any] struct {
	Source *rand.Rand
}

// Pick draws an index from Source.
func (r *Random[C]) Pick(candidates []C) int { return r.Source.IntN(len(candidates)) }

// RoundRobin picks each candidate in turn.
type RoundRobin[C any] struct {
	next int
}

// Pick returns the index after the previous one, modulo the current number of candidates.
func (r *RoundRobin[C]) Pick(candidates []C) int {
	i := r.next % len(candidates)
	r.next = i + 1
	return i
}

// TwoChoices draws two distinct candidates at random and picks the one with the lower cost.
type TwoChoices[C any] struct {
	Source *rand.Rand
	Cost   func(C) float64
}

// Pick returns the index of the candidate with the lower cost, the first drawn one on a tie.
func (t *TwoChoices[C]) Pick(candidates []C) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	a := t.Source.IntN(n)
	b := t.Source.IntN(n - 1)
	if b >= a {
		b++
	}
	if t.Cost(candidates[b]) < t.Cost(candidates[a]) {
		return b
	}
	return a
}
