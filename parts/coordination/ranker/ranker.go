// Package ranker orders candidates for a key by rendezvous hashing: hosts with the same candidates choose the same owner,
// and removing a candidate moves only its own keys.
package ranker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous hash of key and candidate; the zero byte between them keeps pairs distinct.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Owner returns the candidate with the highest score for key, or "" if there are no candidates.
func Owner(key string, candidates []string) string {
	best, top := "", uint64(0)
	for _, c := range candidates {
		s := Score(key, c)
		if best == "" || s > top || (s == top && c < best) {
			best, top = c, s
		}
	}
	return best
}

// Rank returns a copy of candidates, sorted by descending score for key.
func Rank(key string, candidates []string) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b string) int {
		x, y := Score(key, a), Score(key, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return ranked
}
