package rank

import (
	"cmp"
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
