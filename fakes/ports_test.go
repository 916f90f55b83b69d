package fakes_test

import (
	"net/netip"
	"testing"

	"dandeliondoor/fakes"
)

// TestPortsOfPrograms guards against two programs that get the same port, one of them while
// a process of the other one restarts. Each allocator here stands for one of a program.
func TestPortsOfPrograms(t *testing.T) {
	t.Parallel()
	const first, last, count = 9000, 9400, 100
	used := make(map[netip.AddrPort]int)
	allocators := []*fakes.Ports{fakes.NewPorts(first, last), fakes.NewPorts(first, last)}
	for _, ports := range allocators {
		defer ports.Close()
	}
	for range count {
		for i, ports := range allocators {
			address, err := ports.Free()
			if err != nil {
				t.Fatal(err)
			}
			if owner, taken := used[address]; taken && owner != i {
				t.Fatalf("both programs got %s", address)
			}
			used[address] = i
		}
	}
}

// TestPortsUsedUp guards against a program that gets no port any more although those that it
// got earlier are free again.
func TestPortsUsedUp(t *testing.T) {
	t.Parallel()
	const first, last, count = 9400, 9500, 500
	ports := fakes.NewPorts(first, last)
	defer ports.Close()
	for i := range count {
		if _, err := ports.Free(); err != nil {
			t.Fatalf("port %d: %v", i, err)
		}
	}
}
