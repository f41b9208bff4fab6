package throttler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPermit permits requests to 63 endpoints, those of one model at the target.
func BenchmarkPermit(b *testing.B) {
	o := newOwner()
	var ids []string
	for i := range 63 {
		ids = append(ids, fmt.Sprint("endpoint-", i))
	}
	now := epoch
	for i := range b.N {
		now = now.Add(time.Millisecond)
		o.Permit(now, ids[i%len(ids)], epoch, five, 0)
	}
}
