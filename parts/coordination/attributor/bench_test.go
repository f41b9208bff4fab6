package attributor

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBeginning measures what a host does for each stream that begins while a service has one version.
func BenchmarkBeginning(b *testing.B) {
	for _, perSecond := range []int{10, 2800} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			vs, l := listed("v1"), NewLedger()
			now, gap := start, time.Second/time.Duration(perSecond)
			k := Key(0)
			for b.Loop() {
				now = now.Add(gap)
				k++
				vs.Admits(now, origin("v1"), true)
				vs.Single("writer")
				l.Add(now, k, origin("v1"))
			}
		})
	}
}
