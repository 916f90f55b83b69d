package topo_test

import (
	"testing"

	"dandeliondoor/topo"
)

// TestPartCount guards against services whose parts change again and again while their
// number of servers varies around a limit.
func TestPartCount(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		current int
		servers int
		parts   int
	}{
		{name: "few", current: 1, servers: 200, parts: 1},
		{name: "few left of two parts", current: 2, servers: 99, parts: 1},
		{name: "four parts left with almost none", current: 4, servers: 3, parts: 1},
		{name: "grows past the limit", current: 1, servers: 201, parts: 2},
		{name: "no servers", parts: 1},
		{name: "shrinks below the limit", current: 2, servers: 190, parts: 2},
		{name: "shrinks to half", current: 2, servers: 100, parts: 2},
		{name: "very many", current: 1, servers: 1500, parts: 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if parts := topo.PartCount(test.current, test.servers); parts != test.parts {
				t.Errorf("%d parts, want %d", parts, test.parts)
			}
		})
	}
}
