package health_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandeliondoor/health"
)

func init() {
	// A fixed seed makes runs reproducible; command-line flags override it.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "3000")
}

// TestDetectionTarget checks the detection targets: an upstream that fails all
// requests is ejected within 10 of its requests, and one that is 3 times slower
// within 2 s. One that fails 20% of its requests is ejected within 20 s.
func TestDetectionTarget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		if found := detect(newTracked(0), seed, true, behaviour{failureRate: 1}, 20*time.Second); !found.found || found.requests > 10 {
			t.Errorf("seed %d: upstream that fails all requests: %+v", seed, found)
		}
		if found := detect(newTracked(0), seed, true, behaviour{slowFactor: 3}, 20*time.Second); !found.found || found.after > 2*time.Second {
			t.Errorf("seed %d: upstream that is 3 times slower: %+v", seed, found)
		}
		if found := detect(newTracked(0), seed, true, behaviour{failureRate: 0.2}, 20*time.Second); !found.found {
			t.Errorf("seed %d: upstream that fails 20%% of requests: %+v", seed, found)
		}
	}
}

// TestNoFalseEjection checks that two hours of noisy healthy traffic with two
// load peaks cause no ejection.
func TestNoFalseEjection(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		if wrong := falseEjections(newTracked(0), seed, 2*time.Hour); wrong > 0 {
			t.Errorf("seed %d: %d false ejections", seed, wrong)
		}
	}
}

// TestPoolWideFault makes all upstreams of the pool slow or failing at the same
// time. None may be ejected, since the cause is shared.
func TestPoolWideFault(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		fault behaviour
	}{
		{name: "all fail", fault: behaviour{failureRate: 1}},
		{name: "all fail 20 percent", fault: behaviour{failureRate: 0.2}},
		{name: "all fail 50 percent", fault: behaviour{failureRate: 0.5}},
		{name: "all slow 5 times", fault: behaviour{slowFactor: 5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				d := newTracked(0)
				tf := newTraffic(seed, false)
				for tf.now.Sub(epoch) < 2*time.Minute {
					sample, sent := tf.next(d, func(_ int, now time.Time) behaviour {
						if now.Sub(epoch) > time.Minute {
							return test.fault
						}
						return behaviour{}
					})
					if sent {
						d.observe(tf.now, sample)
					}
				}
				if len(d.ejected) > 0 {
					t.Errorf("seed %d: unexpected ejections: %+v", seed, d.ejected)
				}
			}
		})
	}
}

// TestPathCut breaks the network path from one of 48 reporters to one upstream.
// The upstream stays in use, whether connections fail or requests time out.
func TestPathCut(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		d := newTracked(0)
		tf := newTraffic(seed, false)
		for tf.now.Sub(epoch) < 3*time.Minute {
			sample, sent := tf.next(d, faultyFrom(time.Minute, behaviour{cutReporters: 1}))
			if sent {
				if sample.Outcome == health.Unreachable && seed%2 == 0 {
					sample.Outcome = health.TimedOut
				}
				d.observe(tf.now, sample)
			}
		}
		if len(d.ejected) > 0 {
			t.Errorf("seed %d: unexpected ejections: %+v", seed, d.ejected)
		}
	}
}

// TestTimeoutsByDeadline checks that timeouts count against an upstream only if
// the deadline left enough time for the work.
func TestTimeoutsByDeadline(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		deadline time.Duration
		ejected  bool
	}{
		{name: "shorter than the latency", deadline: 10 * time.Millisecond},
		{name: "ten times the latency", deadline: 200 * time.Millisecond, ejected: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newTracked(0)
			tf := newTraffic(1, false)
			for tf.now.Sub(epoch) < 70*time.Second {
				sample, sent := tf.next(d, faultyFrom(time.Minute, behaviour{failureRate: 1}))
				if !sent {
					continue
				}
				if sample.Outcome == health.Failed {
					sample.Outcome, sample.Duration = health.TimedOut, test.deadline
				}
				d.observe(tf.now, sample)
			}
			if ejected := len(d.ejected) > 0; ejected != test.ejected {
				t.Errorf("ejected = %t", ejected)
			}
		})
	}
}

// TestFlapping makes an upstream fail and recover every 5 s. Each ejection lasts
// longer than the one before, so that few of its requests fail.
func TestFlapping(t *testing.T) {
	t.Parallel()
	d := newTracked(0)
	tf := newTraffic(1, false)
	failed, total := 0, 0
	for tf.now.Sub(epoch) < 5*time.Minute {
		sample, sent := tf.next(d, func(upstream int, now time.Time) behaviour {
			if upstream == 0 && now.Sub(epoch) > time.Minute && int(now.Sub(epoch)/(5*time.Second))%2 == 0 {
				return behaviour{failureRate: 1}
			}
			return behaviour{}
		})
		if !sent {
			continue
		}
		if sample.Upstream == upstreamName(0) && tf.now.Sub(epoch) > time.Minute {
			total++
			if sample.Outcome != health.Success {
				failed++
			}
		}
		d.observe(tf.now, sample)
	}
	if len(d.ejected) < 2 {
		t.Errorf("flapping upstream was ejected %d times, want at least 2", len(d.ejected))
	}
	if failed > 100 {
		t.Errorf("%d of %d requests to the flapping upstream failed in 4 minutes, want at most 100", failed, total)
	}
}

// TestReadmissionAfterRecovery checks that an upstream that has recovered is
// readmitted after a few successful trial requests.
func TestReadmissionAfterRecovery(t *testing.T) {
	t.Parallel()
	d := newTracked(0)
	tf := newTraffic(1, false)
	for tf.now.Sub(epoch) < 2*time.Minute {
		sample, sent := tf.next(d, func(upstream int, now time.Time) behaviour {
			since := now.Sub(epoch)
			if upstream == 0 && since > time.Minute && since < 70*time.Second {
				return behaviour{failureRate: 1}
			}
			return behaviour{}
		})
		if sent {
			d.observe(tf.now, sample)
		}
	}
	if state := d.State(upstreamName(0)); len(d.ejected) == 0 || state != health.Healthy {
		t.Errorf("after %d ejections the upstream is %s, want healthy after at least one ejection", len(d.ejected), state)
	}
}

// TestFloor applies events in random order. No ejection for failures or slowness
// may leave less healthy capacity than the floor, and ejected upstreams are
// readmitted when the capacity falls below the floor for another reason.
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
					t.Fatalf("ejection of %s for %s left %d of %d slots, below the floor of %d", ejected.Upstream, ejected.Cause, after, before, floor)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"cold": func(t *rapid.T) { check(tracker.Capacity(), tracker.SetCold(now, name.Draw(t, "cold"))) },
			"fail": func(t *rapid.T) {
				upstream := name.Draw(t, "failing")
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
						if state.Name == upstreamName(i) && out && !state.Leaving && isEvidenceCause(state.Cause) {
							t.Fatalf("capacity %d is below the floor of %d while %s is ejected for %s", tracker.Capacity(), floor, state.Name, state.Cause)
						}
					}
				}
			},
		})
	})
}

func isEvidenceCause(cause health.Cause) bool {
	return cause == health.CauseFailures || cause == health.CauseSlow
}

func reporterName(i int) string { return "daemon-" + string(rune('a'+i%3)) }
