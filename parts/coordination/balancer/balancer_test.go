package balancer

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func identity(x float64) float64 { return x }

func TestTwoChoicesNeverPicksTheMostExpensive(t *testing.T) {
	p := &TwoChoices[float64]{Source: source(), Cost: identity}
	for range 1000 {
		assert.NotEqual(t, 2, p.Pick([]float64{1, 2, 3}))
	}
}

func TestRoundRobinPicksEachInTurn(t *testing.T) {
	p := &RoundRobin[string]{}
	assert.Equal(t, []int{0, 1, 0}, []int{p.Pick([]string{"a", "b"}), p.Pick([]string{"a", "b"}), p.Pick([]string{"a", "b"})})
}
