package sharder

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConcurrentUpdatesOfOneKeyAreNotLost(t *testing.T) {
	m := New[int, int](func(k int) uint64 { return uint64(k) })
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 1000 {
				m.Update(i%50, func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	}
	wg.Wait()
	total := 0
	m.Each(func(_, v int) { total += v })
	assert.Equal(t, 8000, total)
	assert.Equal(t, 50, m.Len())
	m.Delete(3)
	_, ok := m.Get(3)
	assert.False(t, ok)
}
