package health_test

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// faults are the faults of one upstream among healthy ones.
var faults = []struct {
	name      string
	behaviour behaviour
}{
	{name: "fails_20_percent", behaviour: behaviour{failureRate: 0.2}},
	{name: "fails_all", behaviour: behaviour{failureRate: 1}},
	{name: "slow_10_times", behaviour: behaviour{slowFactor: 10}},
	{name: "slow_3_times", behaviour: behaviour{slowFactor: 3}},
}

var detectors = []struct {
	name   string
	create func() detector
}{
	{name: "consecutive_5", create: func() detector { return &consecutive{limit: 5} }},
	{name: "tracker", create: func() detector { return newTracked(0) }},
	{name: "window_10s_50_percent", create: func() detector {
		return &windowed{window: 10 * time.Second, maxFailureRate: 0.5, minRequests: 20}
	}},
}

// BenchmarkDetection measures how fast a faulty upstream is taken out of use,
// over 200 seeds of noisy traffic per case.
func BenchmarkDetection(b *testing.B) {
	const trials, limit = 200, 20 * time.Second
	for _, fault := range faults {
		for _, candidate := range detectors {
			b.Run(fault.name+"/"+candidate.name, func(b *testing.B) {
				for range b.N {
					var delays []time.Duration
					var requests []int
					for seed := range trials {
						result := detect(candidate.create(), uint64(seed), true, fault.behaviour, limit)
						if result.found {
							delays = append(delays, result.after)
							requests = append(requests, result.requests)
						}
					}
					slices.Sort(delays)
					slices.Sort(requests)
					b.ReportMetric(100*float64(len(delays))/trials, "%found")
					if len(delays) > 0 {
						b.ReportMetric(float64(delays[len(delays)/2].Milliseconds()), "p50_ms")
						b.ReportMetric(float64(delays[len(delays)*99/100].Milliseconds()), "p99_ms")
						b.ReportMetric(float64(requests[len(requests)*99/100]), "p99_requests")
					}
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// BenchmarkFalseEjections counts false ejections in simulated days of noisy
// healthy traffic with load peaks.
func BenchmarkFalseEjections(b *testing.B) {
	const pools, length = 48, 24 * time.Hour
	for _, candidate := range detectors {
		b.Run(candidate.name, func(b *testing.B) {
			for range b.N {
				counts := make([]int, pools)
				var runs sync.WaitGroup
				for pool := range pools {
					runs.Go(func() {
						d := candidate.create()
						counts[pool] = falseEjections(d, uint64(pool), length)
						if tracker, isTracked := d.(*tracked); isTracked && counts[pool] > 0 {
							b.Logf("pool %d: %+v", pool, tracker.ejected)
						}
					})
				}
				runs.Wait()
				total := 0
				for _, count := range counts {
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
