package grant_test

import (
	"testing"
	"time"

	"dandeliondoor/grant"
	"dandeliondoor/model"
)

var epoch = time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)

// TestFallback chooses upstreams until none is usable. No upstream may be chosen
// more often than it has slots, and excluded or draining ones not at all.
func TestFallback(t *testing.T) {
	t.Parallel()
	upstreams := []model.Upstream{
		{Name: "draining", Slots: 2}, {Name: "excluded", Slots: 2}, {Name: "first", Slots: 2}, {Name: "second", Slots: 2},
	}
	fallback := grant.NewFallback(1)
	fallback.RequestStarted("draining")
	fallback.RequestEnded(epoch, "draining", 0.1, true)
	counts := make(map[string]int)
	excluded := func(u model.Upstream) bool { return u.Name == "excluded" }
	for {
		chosen, found := fallback.Choose(epoch, upstreams, excluded)
		if !found {
			break
		}
		fallback.RequestStarted(chosen.Name)
		counts[chosen.Name]++
	}
	if counts["first"] != 2 || counts["second"] != 2 || len(counts) != 2 {
		t.Errorf("chose %v", counts)
	}
}

// TestFallbackPrefersIdle reports a high load for one of two upstreams. The other
// one must be chosen unless both random candidates are the busy one, that is in
// about three of four cases.
func TestFallbackPrefersIdle(t *testing.T) {
	t.Parallel()
	upstreams := []model.Upstream{{Name: "busy", Slots: 9}, {Name: "idle", Slots: 9}}
	fallback := grant.NewFallback(1)
	for _, u := range upstreams {
		load := 0.1
		if u.Name == "busy" {
			load = 0.9
		}
		fallback.RequestStarted(u.Name)
		fallback.RequestEnded(epoch, u.Name, load, false)
	}
	idle := 0
	const choices = 1000
	for range choices {
		if chosen, _ := fallback.Choose(epoch, upstreams, func(model.Upstream) bool { return false }); chosen.Name == "idle" {
			idle++
		}
	}
	if idle < choices*7/10 || idle > choices*8/10 {
		t.Errorf("the idle upstream was chosen %d of %d times, want about 3 of 4", idle, choices)
	}
}
