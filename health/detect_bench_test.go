package health_test

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// sicknesses are the cases of one sick upstream among healthy ones.
var sicknesses = []struct {
	name string
	sick behaviour
}{
	{name: "fails_20_percent", sick: behaviour{failShare: 0.2}},
	{name: "fails_all", sick: behaviour{failShare: 1}},
	{name: "slow_10_times", sick: behaviour{slowFactor: 10}},
	{name: "slow_3_times", sick: behaviour{slowFactor: 3}},
}

var detectors = []struct {
	name   string
	create func() detector
}{
	{name: "consecutive_5", create: func() detector { return &consecutive{limit: 5} }},
	{name: "tracker", create: func() detector { return newTracked(0) }},
	{name: "window_10s_50_percent", create: func() detector {
		return &windowed{window: 10 * time.Second, share: 0.5, least: 20}
	}},
}

// BenchmarkDetection measures how fast a sick upstream is out of use, over 200
// seeds of noisy traffic each.
func BenchmarkDetection(b *testing.B) {
	const trials, most = 200, 20 * time.Second
	for _, sickness := range sicknesses {
		for _, arm := range detectors {
			b.Run(sickness.name+"/"+arm.name, func(b *testing.B) {
				for range b.N {
					var after []time.Duration
					var requests []int
					for seed := range trials {
						found := detect(arm.create(), uint64(seed), true, sickness.sick, most)
						if found.found {
							after = append(after, found.after)
							requests = append(requests, found.requests)
						}
					}
					slices.Sort(after)
					slices.Sort(requests)
					b.ReportMetric(100*float64(len(after))/trials, "%found")
					if len(after) > 0 {
						b.ReportMetric(float64(after[len(after)/2].Milliseconds()), "p50_ms")
						b.ReportMetric(float64(after[len(after)*99/100].Milliseconds()), "p99_ms")
						b.ReportMetric(float64(requests[len(requests)*99/100]), "p99_requests")
					}
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkFalseEjections measures wrong ejections in simulated days of noisy
// healthy traffic with crests.
func BenchmarkFalseEjections(b *testing.B) {
	const pools, length = 48, 24 * time.Hour
	for _, arm := range detectors {
		b.Run(arm.name, func(b *testing.B) {
			for range b.N {
				wrong := make([]int, pools)
				var runs sync.WaitGroup
				for pool := range pools {
					runs.Go(func() {
						d := arm.create()
						wrong[pool] = falseEjections(d, uint64(pool), length)
						if own, isOwn := d.(*tracked); isOwn && wrong[pool] > 0 {
							b.Logf("pool %d: %+v", pool, own.ejected)
						}
					})
				}
				runs.Wait()
				total := 0
				for _, count := range wrong {
					total += count
				}
				days := float64(pools*poolSize) * length.Hours() / 24
				b.ReportMetric(float64(total), "false_ejections")
				b.ReportMetric(100*float64(total)/days, "per_100_upstream_days")
				b.ReportMetric(days, "upstream_days")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func falseEjections(d detector, seed uint64, length time.Duration) int {
	t := newTraffic(seed, true)
	for t.now.Sub(epoch) < length {
		if sample, sent := t.next(d, healthy); sent {
			d.observe(t.now, sample)
		}
	}
	switch d := d.(type) {
	case *tracked:
		return len(d.ejected)
	case *consecutive:
		return d.ejected
	case *windowed:
		return d.ejected
	default:
		return 0
	}
}
