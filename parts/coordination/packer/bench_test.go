package packer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPeakOfAFullEngine is what a request that waits costs at each engine at each look.
func BenchmarkPeakOfAFullEngine(b *testing.B) {
	p := packed()
	for i := range 12 {
		p.Add("e", job(fmt.Sprint(i)), epoch.Add(-time.Duration(i)*300*time.Millisecond))
	}
	for b.Loop() {
		p.Peak(epoch, "e", job("next"), epoch)
	}
}

// BenchmarkForecastOfAFullEngine is what each engine costs whenever a run begins or ends there.
func BenchmarkForecastOfAFullEngine(b *testing.B) {
	p := packed()
	for i := range 12 {
		p.Add("e", job(fmt.Sprint(i)), epoch.Add(-time.Duration(i)*300*time.Millisecond))
	}
	for b.Loop() {
		p.engines["e"].stale = true
		p.currentForecast(epoch, p.engines["e"])
	}
}
