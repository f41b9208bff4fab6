package quarantiner

import "testing"

func benchmark(b *testing.B, ends int) {
	q := newQuarantine()
	for i := range ends {
		e := end(i, after(float64(i)), uint64(i), first, Cause{Kind: Part, ID: uint64(100 + i)})
		q.Observe(e.At, e)
	}
	now := after(float64(ends))
	for i := range b.N {
		parts := []Cause{{Kind: Request, ID: uint64(i)}, first, second}
		q.IsConvicted(now, parts...)
		q.RecordOutput(now, parts[1:]...)
	}
}

func BenchmarkRequestWithoutEvidence(b *testing.B) { benchmark(b, 0) }
func BenchmarkRequestWithFiveEnds(b *testing.B)    { benchmark(b, 5) }
func BenchmarkRequestWithTheMostEnds(b *testing.B) { benchmark(b, maxEnds) }
func BenchmarkObserveWithTheMostEvidence(b *testing.B) {
	q := newQuarantine()
	for i := range b.N {
		e := end(i, after(float64(i)/1000), uint64(i))
		for p := range maxBlames {
			e.Blames = append(e.Blames, Blame{Cause: Cause{Kind: Part, ID: uint64(1000*i + p)}})
		}
		q.Observe(e.At, e)
	}
}
