package rank_test

import (
	"fmt"
	"slices"
	"testing"

	"dandeliondoor/rank"
)

// TestTop removes one member at a time and checks that a key moves only if its
// first member is removed, and then to its second.
func TestTop(t *testing.T) {
	t.Parallel()
	var names []string
	for i := range 48 {
		names = append(names, fmt.Sprint("daemon-", i))
	}
	for key := range 50 {
		order := rank.Order(fmt.Sprint(key), names)
		for _, removed := range names {
			remaining := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == removed })
			want := order[0]
			if removed == order[0] {
				want = order[1]
			}
			if got := rank.Top(fmt.Sprint(key), remaining, 1)[0]; got != want {
				t.Fatalf("key %d without %s: first member is %s, want %s", key, removed, got, want)
			}
		}
	}
}
