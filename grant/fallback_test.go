package grant_test

import (
	"testing"
	"time"

	"dandeliondoor/grant"
	"dandeliondoor/model"
)

var epoch = time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)

// TestFallback fills three upstreams of two slots by this entry's own choice:
// none gets more than its slots, the excluded and the draining one get nothing.
func TestFallback(t *testing.T) {
	t.Parallel()
	upstreams := []model.Upstream{
		{Name: "draining", Slots: 2}, {Name: "excluded", Slots: 2}, {Name: "first", Slots: 2}, {Name: "second", Slots: 2},
	}
	fallback := grant.NewFallback(1)
	fallback.Began("draining")
	fallback.Ended(epoch, "draining", 0.1, true)
	counts := make(map[string]int)
	excluded := func(u model.Upstream) bool { return u.Name == "excluded" }
	for {
		chosen, found := fallback.Choose(epoch, upstreams, excluded)
		if !found {
			break
		}
		fallback.Began(chosen.Name)
		counts[chosen.Name]++
	}
	if counts["first"] != 2 || counts["second"] != 2 || len(counts) != 2 {
		t.Errorf("chose %v", counts)
	}
}

// TestFallbackPrefersIdle gives one of two upstreams a high load: the other one
// is chosen unless both random candidates are the busy one.
func TestFallbackPrefersIdle(t *testing.T) {
	t.Parallel()
	upstreams := []model.Upstream{{Name: "busy", Slots: 9}, {Name: "idle", Slots: 9}}
	fallback := grant.NewFallback(1)
	for _, u := range upstreams {
		load := 0.1
		if u.Name == "busy" {
			load = 0.9
		}
		fallback.Began(u.Name)
		fallback.Ended(epoch, u.Name, load, false)
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
