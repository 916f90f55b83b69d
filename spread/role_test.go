package spread_test

import (
	"fmt"
	"testing"

	"dandeliondoor/spread"
)

// TestRoleOf checks the distribution tree for several numbers of daemons: the number
// of readers, its depth and that no daemon has more than 8 followers.
func TestRoleOf(t *testing.T) {
	t.Parallel()
	for _, count := range []int{1, 2, 3, 16, 228} {
		var ranked []string
		for i := range count {
			ranked = append(ranked, fmt.Sprint("daemon-", i))
		}
		followers := make(map[string]int)
		readers, deepest := 0, 0
		for _, name := range ranked {
			switch role := spread.RoleOf(ranked, name).(type) {
			case spread.Reader:
				readers++
			case spread.Follower:
				followers[role.Ancestors[0]]++
				deepest = max(deepest, len(role.Ancestors))
			}
		}
		if readers != min(count, 2) || deepest > 4 {
			t.Errorf("%d daemons: %d readers, %d ancestors", count, readers, deepest)
		}
		for name, number := range followers {
			if number > 8 {
				t.Errorf("%d daemons: %s has %d followers", count, name, number)
			}
		}
	}
}
