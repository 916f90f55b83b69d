package health_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandeliondoor/health"
)

func init() {
	// The same seeds in each run give the same verdict; flags override them.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "3000")
}

// TestDetectionTarget holds the stated targets: an upstream that fails all is
// out within 10 requests of its own, one that is slow 3 times within 2 s.
func TestDetectionTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		if found := detect(newTracked(0), seed, true, behaviour{failShare: 1}, 20*time.Second); !found.found || found.requests > 10 {
			t.Errorf("seed %d: fails all: %+v", seed, found)
		}
		if found := detect(newTracked(0), seed, true, behaviour{slowFactor: 3}, 20*time.Second); !found.found || found.after > 2*time.Second {
			t.Errorf("seed %d: slow 3 times: %+v", seed, found)
		}
		if found := detect(newTracked(0), seed, true, behaviour{failShare: 0.2}, 20*time.Second); !found.found {
			t.Errorf("seed %d: fails 20%%: %+v", seed, found)
		}
	}
}

// TestNoFalseEjection runs two hours of noisy healthy traffic with two crests.
func TestNoFalseEjection(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		if wrong := falseEjections(newTracked(0), seed, 2*time.Hour); wrong > 0 {
			t.Errorf("seed %d: %d false ejections", seed, wrong)
		}
	}
}

// TestSharedTrouble makes the whole pool slow, or fail, at once: nobody is
// ejected for what all share.
func TestSharedTrouble(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		trouble behaviour
	}{
		{name: "all fail", trouble: behaviour{failShare: 1}},
		{name: "all fail a fifth", trouble: behaviour{failShare: 0.2}},
		{name: "all fail half", trouble: behaviour{failShare: 0.5}},
		{name: "all slow 5 times", trouble: behaviour{slowFactor: 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				d := newTracked(0)
				tf := newTraffic(seed, false)
				for tf.now.Sub(epoch) < 2*time.Minute {
					sample, sent := tf.next(d, func(_ int, now time.Time) behaviour {
						if now.Sub(epoch) > time.Minute {
							return test.trouble
						}
						return behaviour{}
					})
					if sent {
						d.observe(tf.now, sample)
					}
				}
				if len(d.ejected) > 0 {
					t.Errorf("seed %d: %+v", seed, d.ejected)
				}
			}
		})
	}
}

// TestPathCut cuts one upstream off from one of 48 reporters: it stays in use,
// whether the reporter cannot connect or its requests time out.
func TestPathCut(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		d := newTracked(0)
		tf := newTraffic(seed, false)
		for tf.now.Sub(epoch) < 3*time.Minute {
			sample, sent := tf.next(d, sickFrom(time.Minute, behaviour{cutFrom: 1}))
			if sent {
				if sample.Outcome == health.Unreachable && seed%2 == 0 {
					sample.Outcome = health.TimedOut
				}
				d.observe(tf.now, sample)
			}
		}
		if len(d.ejected) > 0 {
			t.Errorf("seed %d: %+v", seed, d.ejected)
		}
	}
}

// TestDeadlines lets callers give one upstream's requests less time than the
// work takes, which says nothing about it, or far more, which does.
func TestDeadlines(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		given   time.Duration
		ejected bool
	}{
		{name: "less than the work takes", given: 10 * time.Millisecond},
		{name: "ten times what the work takes", given: 200 * time.Millisecond, ejected: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newTracked(0)
			tf := newTraffic(1, false)
			for tf.now.Sub(epoch) < 70*time.Second {
				sample, sent := tf.next(d, sickFrom(time.Minute, behaviour{failShare: 1}))
				if !sent {
					continue
				}
				if sample.Outcome == health.Failed {
					sample.Outcome, sample.Duration = health.TimedOut, test.given
				}
				d.observe(tf.now, sample)
			}
			if ejected := len(d.ejected) > 0; ejected != test.ejected {
				t.Errorf("ejected is %t", ejected)
			}
		})
	}
}

// TestFlapping lets an upstream turn sick and well each 5 s: it is ejected
// each time for longer, so that few of its requests fail.
func TestFlapping(t *testing.T) {
	t.Parallel()
	d := newTracked(0)
	tf := newTraffic(1, false)
	failed, own := 0, 0
	for tf.now.Sub(epoch) < 5*time.Minute {
		sample, sent := tf.next(d, func(upstream int, now time.Time) behaviour {
			if upstream == 0 && now.Sub(epoch) > time.Minute && int(now.Sub(epoch)/(5*time.Second))%2 == 0 {
				return behaviour{failShare: 1}
			}
			return behaviour{}
		})
		if !sent {
			continue
		}
		if sample.Upstream == upstreamName(0) && tf.now.Sub(epoch) > time.Minute {
			own++
			if sample.Outcome != health.Success {
				failed++
			}
		}
		d.observe(tf.now, sample)
	}
	if len(d.ejected) < 2 {
		t.Errorf("%d ejections of a flapping upstream", len(d.ejected))
	}
	if failed > 100 {
		t.Errorf("%d of its %d requests failed in 4 minutes, half of which it was sick", failed, own)
	}
}

// TestReturn lets an upstream get well: it comes back after a few good answers.
func TestReturn(t *testing.T) {
	t.Parallel()
	d := newTracked(0)
	tf := newTraffic(1, false)
	for tf.now.Sub(epoch) < 2*time.Minute {
		sample, sent := tf.next(d, func(upstream int, now time.Time) behaviour {
			since := now.Sub(epoch)
			if upstream == 0 && since > time.Minute && since < 70*time.Second {
				return behaviour{failShare: 1}
			}
			return behaviour{}
		})
		if sent {
			d.observe(tf.now, sample)
		}
	}
	if state := d.State(upstreamName(0)); len(d.ejected) == 0 || state != health.Healthy {
		t.Errorf("after %d ejections it is %s", len(d.ejected), state)
	}
}

// TestFloor sends events in any order: no ejection for failures or slowness
// leaves less healthy capacity than the floor, and what can come back does
// when capacity falls for another reason.
func TestFloor(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, poolSize*poolSlots).Draw(t, "floor")
		tracker := health.NewTracker(floor)
		now := epoch
		for i := range poolSize {
			tracker.Add(now, upstreamName(i), poolSlots, false)
		}
		name := rapid.Custom(func(t *rapid.T) string { return upstreamName(rapid.IntRange(0, poolSize-1).Draw(t, "upstream")) })
		check := func(before int, verdicts []health.Verdict) {
			for _, verdict := range verdicts {
				ejected, isEjected := verdict.(health.Ejected)
				if !isEjected || ejected.Cause == health.CauseUnreachable || ejected.Cause == health.CauseTrial {
					continue
				}
				if after := tracker.Capacity(); after < floor {
					t.Fatalf("ejecting %s for %s left %d of %d slots, floor %d", ejected.Upstream, ejected.Cause, after, before, floor)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"cold": func(t *rapid.T) { check(tracker.Capacity(), tracker.SetCold(now, name.Draw(t, "cold"))) },
			"fail": func(t *rapid.T) {
				upstream := name.Draw(t, "sick")
				outcome := rapid.SampledFrom([]health.Outcome{health.Failed, health.Lost, health.TimedOut, health.Unreachable}).Draw(t, "outcome")
				for i := range rapid.IntRange(1, 12).Draw(t, "times") {
					before := tracker.Capacity()
					check(before, tracker.Observe(now, health.Sample{Upstream: upstream, Reporter: reporterName(i), Route: "lots", Outcome: outcome}))
				}
			},
			"leave": func(t *rapid.T) {
				check(tracker.Capacity(), tracker.SetLeaving(name.Draw(t, "leaving"), rapid.Bool().Draw(t, "is leaving")))
			},
			"slow": func(t *rapid.T) {
				upstream := name.Draw(t, "slow")
				for i := range 40 {
					now = now.Add(50 * time.Millisecond)
					check(tracker.Capacity(), tracker.Observe(now, health.Sample{
						Upstream: upstream, Reporter: reporterName(i), Route: "lots", Duration: 500 * time.Millisecond,
					}))
				}
			},
			"succeed": func(t *rapid.T) {
				for i := range poolSize * 4 {
					now = now.Add(time.Millisecond)
					check(tracker.Capacity(), tracker.Observe(now, health.Sample{
						Upstream: upstreamName(i % poolSize), Reporter: reporterName(i), Route: "lots", Duration: 20 * time.Millisecond,
					}))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				tracker.Tick(now)
			},
			"": func(t *rapid.T) {
				if tracker.Capacity() >= floor {
					return
				}
				for i := range poolSize {
					for _, state := range tracker.Dump(now) {
						out := state.State == health.Out.String() || state.State == health.Trial.String()
						if state.Name == upstreamName(i) && out && !state.Leaving && sickCause(state.Cause) {
							t.Fatalf("capacity %d is below the floor %d while %s is out for %s", tracker.Capacity(), floor, state.Name, state.Cause)
						}
					}
				}
			},
		})
	})
}

func sickCause(cause health.Cause) bool {
	return cause == health.CauseFailures || cause == health.CauseSlow
}

func reporterName(i int) string { return "daemon-" + string(rune('a'+i%3)) }
