package placer

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkPlanLongQueueWithFullEngines(b *testing.B) {
	p := newPlacer(15, 29)
	waiting := burst(300, epoch)
	p.Plan(epoch, waiting)
	for i := range b.N {
		p.Plan(epoch.Add(time.Duration(i)*time.Microsecond), waiting)
	}
}

func BenchmarkPlanOneRequest(b *testing.B) {
	p := newPlacer(15, 29)
	for i := range 200 {
		p.AddRun(epoch, fmt.Sprintf("g%d", i%29), request(1000+i, epoch).Job, epoch)
	}
	waiting := burst(1, epoch)
	for i := range b.N {
		for _, placement := range p.Plan(epoch.Add(time.Duration(i)*time.Microsecond), waiting).Placements {
			p.RecordFailure(epoch, placement.ID)
		}
	}
}
