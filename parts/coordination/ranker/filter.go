package ranker

import "slices"

// minRelativePower is the least CPU share of a candidate relative to the strongest one. Owning many keys costs a host
// more CPU time than any other work.
const minRelativePower = 0.5

// FilterByCPU drops the candidates with much less CPU share than the strongest one. It modifies the slice in place.
func FilterByCPU[T any](candidates []T, power func(T) int) []T {
	most := 0
	for _, c := range candidates {
		most = max(most, power(c))
	}
	return slices.DeleteFunc(candidates, func(c T) bool { return float64(power(c)) < minRelativePower*float64(most) })
}
