package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key; the highest ranks first.
func Score(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Weighted returns the members by falling rank for a key, where the chance of a
// member to rank first follows its weight.
func Weighted[T any](key string, members []T, name func(member T) string, weight func(member T) float64) []T {
	scores := make([]float64, len(members))
	order := make([]int, len(members))
	for i, member := range members {
		draw := (float64(Score(key, name(member))>>drawShift) + 1) / (1 << (64 - drawShift))
		scores[i] = math.Log(draw) / max(weight(member), minWeight)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(name(members[a]), name(members[b])))
	})
	ranked := make([]T, len(members))
	for i, at := range order {
		ranked[i] = members[at]
	}
	return ranked
}

const (
	// drawShift leaves as many bits of a score as a float64 holds.
	drawShift = 11
	// minWeight keeps a member without a weight in the order.
	minWeight = 1e-6
)

type scored struct {
	member string
	score  uint64
}

// Order returns the members by falling rank for a key.
func Order(key string, members []string) []string {
	return Top(key, members, len(members))
}

// Top returns the count highest ranked members for a key.
func Top(key string, members []string, count int) []string {
	best := make([]scored, 0, count+1)
	for _, member := range members {
		candidate := scored{member: member, score: Score(key, member)}
		if len(best) == count && (count == 0 || !ahead(candidate, best[count-1])) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, candidate, compare)
		best = slices.Insert(best, at, candidate)
		if len(best) > count {
			best = best[:count]
		}
	}
	names := make([]string, len(best))
	for i, candidate := range best {
		names[i] = candidate.member
	}
	return names
}

func ahead(a, b scored) bool { return compare(a, b) < 0 }

func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
}
