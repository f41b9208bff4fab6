package packer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPeakOfAFullEngine measures the cost of one waiting request per engine and planning round.
func BenchmarkPeakOfAFullEngine(b *testing.B) {
	p := newPacker()
	for i := range 12 {
		p.Add("e", job(fmt.Sprint(i)), epoch.Add(-time.Duration(i)*300*time.Millisecond))
	}
	for b.Loop() {
		p.Peak(epoch, "e", job("next"), epoch)
	}
}

// BenchmarkForecastOfAFullEngine measures the cost per engine whenever a run starts or ends there.
func BenchmarkForecastOfAFullEngine(b *testing.B) {
	p := newPacker()
	for i := range 12 {
		p.Add("e", job(fmt.Sprint(i)), epoch.Add(-time.Duration(i)*300*time.Millisecond))
	}
	for b.Loop() {
		p.engines["e"].stale = true
		p.currentForecast(epoch, p.engines["e"])
	}
}
