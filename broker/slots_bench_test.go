package broker_test

import (
	"fmt"
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/model"
)

// choosers are the ways to choose upstreams that are compared on the same jobs.
var choosers = []struct {
	name   string
	create func(workload) chooser
}{
	{name: "two_choices", create: func(w workload) chooser { return newTwoChoices(w, false) }},
	{name: "two_choices_reported_load", create: func(w workload) chooser { return newTwoChoices(w, true) }},
	{name: "broker_no_share", create: func(w workload) chooser { return newBrokerChooser(w, broker.LongUnbounded{}) }},
	{name: "broker_share_60", create: func(w workload) chooser { return newBrokerChooser(w, broker.LongFixed{Share: 0.6}) }},
	{name: "broker_share_by_demand", create: func(w workload) chooser { return newBrokerChooser(w, broker.LongByDemand{}) }},
}

// BenchmarkSlots measures the waits for a slot at constant loads.
func BenchmarkSlots(b *testing.B) {
	const length, warm = 120 * time.Second, 10 * time.Second
	for _, load := range []float64{0.6, 0.8, 0.9, 0.95} {
		for _, candidate := range choosers {
			b.Run(fmt.Sprintf("load=%.2f/%s", load, candidate.name), func(b *testing.B) {
				w := catalogueWorkload(20261204)
				for range b.N {
					jobs := w.jobs(length, func(time.Duration) float64 { return load })
					simulate(w, candidate.create(w), jobs, length)
					short := waits(jobs, model.ClassShort, warm, length)
					long := waits(jobs, model.ClassLong, warm, length)
					b.ReportMetric(quantile(short, 0.5), "short_p50_ms")
					b.ReportMetric(quantile(short, 0.99), "short_p99_ms")
					b.ReportMetric(quantile(short, 0.999), "short_p99.9_ms")
					b.ReportMetric(quantile(long, 0.99), "long_p99_ms")
					b.ReportMetric(float64(countRefused(jobs)), "refused")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func countRefused(jobs []*job) int {
	count := 0
	for _, j := range jobs {
		if j.refused {
			count++
		}
	}
	return count
}

// The load surge starts at half of the capacity, triples within 2 s, stays there
// for 10 s and then drops to half of the capacity at once.
const (
	surgeStart = 20 * time.Second
	surgeRise  = 2 * time.Second
	surgeHold  = 10 * time.Second
	surgeEnd   = surgeStart + surgeRise + surgeHold
)

func surgeLoad(at time.Duration) float64 {
	switch {
	case at < surgeStart || at >= surgeEnd:
		return 0.5
	case at < surgeStart+surgeRise:
		return 0.5 + float64(at-surgeStart)/float64(surgeRise)
	default:
		return 1.5
	}
}

// BenchmarkSurge measures a load surge to 1.5 times the capacity: the share of
// requests that are answered before their deadlines, the time until the others are
// refused, and the time until waits are back to normal.
func BenchmarkSurge(b *testing.B) {
	const length = 50 * time.Second
	for _, candidate := range choosers {
		b.Run(candidate.name, func(b *testing.B) {
			w := catalogueWorkload(20261204)
			for range b.N {
				jobs := w.jobs(length, surgeLoad)
				simulate(w, candidate.create(w), jobs, length)
				result := measureSurge(w, jobs)
				b.ReportMetric(100*result.capacityInTime, "%capacity_in_time")
				b.ReportMetric(100*result.shortInTime, "%short_in_time")
				b.ReportMetric(result.refusalP99, "refusal_p99_ms")
				b.ReportMetric(result.recovery.Seconds(), "recovery_s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// surgeResult holds the measurements of a load surge.
type surgeResult struct {
	capacityInTime float64
	shortInTime    float64
	refusalP99     float64
	recovery       time.Duration
}

// measureSurge evaluates the jobs of a load surge. capacityInTime is the slot time
// of requests that ended before their deadlines while the load was highest, divided
// by the total slot time of that period.
func measureSurge(w workload, jobs []*job) surgeResult {
	from, to := surgeStart+surgeRise, surgeEnd
	inTime, shortInTime, short := time.Duration(0), 0, 0
	var refusals []time.Duration
	for _, j := range jobs {
		late := j.refused || j.ended-j.arrived > deadlines(j.class)
		if !late && j.ended >= from && j.ended < to {
			inTime += j.service
		}
		if j.arrived < from || j.arrived >= to {
			continue
		}
		if j.refused {
			refusals = append(refusals, j.decided-j.arrived)
		}
		if j.class == model.ClassShort {
			short++
			if !late {
				shortInTime++
			}
		}
	}
	slotTime := float64(to-from) * float64(w.upstreams*w.slots)
	return surgeResult{
		capacityInTime: float64(inTime) / slotTime,
		shortInTime:    float64(shortInTime) / float64(short),
		refusalP99:     quantile(refusals, 0.99),
		recovery:       recovery(jobs),
	}
}

// recovery returns the time from the end of the surge until the 99th percentile
// wait of short requests, measured per half second, is at most 20 ms and stays so
// for the rest of the 15 s after the surge.
func recovery(jobs []*job) time.Duration {
	const step = 500 * time.Millisecond
	last := time.Duration(0)
	for at := surgeEnd; at < surgeEnd+15*time.Second; at += step {
		if quantile(waits(jobs, model.ClassShort, at, at+step), 0.99) > 20 {
			last = at + step - surgeEnd
		}
	}
	return last
}
