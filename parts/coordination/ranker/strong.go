package ranker

import "slices"

// weakest is the part of the strongest candidate's power that another one must have: a home of many keys takes more of a
// host than anything else that it does.
const minRelativePower = 0.5

// Strong leaves out the candidates with much less power than the strongest. The list is changed in place.
func FilterByCPU[T any](candidates []T, power func(T) int) []T {
	most := 0
	for _, c := range candidates {
		most = max(most, power(c))
	}
	return slices.DeleteFunc(candidates, func(c T) bool { return float64(power(c)) < minRelativePower*float64(most) })
}
