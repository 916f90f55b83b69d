package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the hash of a key and a member. The member with the highest score
// ranks first for the key.
func Score(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Weighted returns the members in rank order for a key, highest first. The
// probability that a member ranks first is proportional to its weight.
func Weighted[T any](key string, members []T, name func(member T) string, weight func(member T) float64) []T {
	scores := make([]float64, len(members))
	order := make([]int, len(members))
	for i, member := range members {
		uniform := (float64(Score(key, name(member))>>uniformShift) + 1) / (1 << (64 - uniformShift))
		scores[i] = math.Log(uniform) / max(weight(member), minWeight)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(name(members[a]), name(members[b])))
	})
	ranked := make([]T, len(members))
	for i, index := range order {
		ranked[i] = members[index]
	}
	return ranked
}

const (
	// uniformShift reduces a score to the 53 bits that a float64 represents exactly.
	uniformShift = 11
	// minWeight is the weight used for members with a lower one, so that members
	// without a weight are ranked too.
	minWeight = 1e-6
)
