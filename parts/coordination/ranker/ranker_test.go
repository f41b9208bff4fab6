package ranker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRemovingAHostMovesOnlyItsOwnKeys(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for i := range 1000 {
		key := fmt.Sprint(i)
		before := Owner(key, hosts)
		after := Owner(key, hosts[:4])
		if before != "e" {
			assert.Equal(t, before, after)
		}
	}
}

func TestOwnerIsTheFirstOfTheRank(t *testing.T) {
	hosts := []string{"a", "b", "c"}
	for i := range 100 {
		assert.Equal(t, Owner(fmt.Sprint(i), hosts), Rank(fmt.Sprint(i), hosts)[0])
	}
	assert.Empty(t, Owner("key", nil))
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{12, 48, 190, 380} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := make([]string, n)
			for i := range hosts {
				hosts[i] = fmt.Sprintf("host-%d", i)
			}
			b.ReportAllocs()
			for range b.N {
				Owner("engine/decode-17", hosts)
			}
		})
	}
}
