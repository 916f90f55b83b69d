package rank_test

import (
	"fmt"
	"testing"

	"dandeliondoor/rank"
)

// BenchmarkTop measures the selection of the three brokers of a pool.
func BenchmarkTop(b *testing.B) {
	for _, count := range []int{16, 48, 228, 4100} {
		b.Run(fmt.Sprintf("daemons=%d", count), func(b *testing.B) {
			var names []string
			for i := range count {
				names = append(names, fmt.Sprintf("daemon-%04d", i))
			}
			for b.Loop() {
				rank.Top("souk-catalogue/fes-medina/0", names, 3)
			}
		})
	}
}
