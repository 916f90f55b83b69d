package rank_test

import (
	"fmt"
	"slices"
	"testing"

	"dandeliondoor/rank"
)

// TestTop loses one member at a time: a key moves only when its first member is
// lost, and then to its second.
func TestTop(t *testing.T) {
	t.Parallel()
	var names []string
	for i := range 48 {
		names = append(names, fmt.Sprint("daemon-", i))
	}
	for key := range 50 {
		order := rank.Order(fmt.Sprint(key), names)
		for _, lost := range names {
			left := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == lost })
			want := order[0]
			if lost == order[0] {
				want = order[1]
			}
			if got := rank.Top(fmt.Sprint(key), left, 1)[0]; got != want {
				t.Fatalf("key %d without %s is at %s, want %s", key, lost, got, want)
			}
		}
	}
}
