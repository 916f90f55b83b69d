package broker_test

import (
	"fmt"
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/model"
)

// arms are the ways to choose upstreams that are measured on the same jobs.
var arms = []struct {
	name   string
	create func(workload) chooser
}{
	{name: "two_choices", create: func(w workload) chooser { return newAlone(w, false) }},
	{name: "two_choices_reported_load", create: func(w workload) chooser { return newAlone(w, true) }},
	{name: "broker_no_share", create: func(w workload) chooser { return newBrokered(w, broker.LongUnbounded{}) }},
	{name: "broker_share_60", create: func(w workload) chooser { return newBrokered(w, broker.LongFixed{Share: 0.6}) }},
	{name: "broker_share_by_demand", create: func(w workload) chooser { return newBrokered(w, broker.LongByDemand{}) }},
}

// BenchmarkSlots measures the waits for a slot at steady loads.
func BenchmarkSlots(b *testing.B) {
	const length, warm = 120 * time.Second, 10 * time.Second
	for _, load := range []float64{0.6, 0.8, 0.9, 0.95} {
		for _, arm := range arms {
			b.Run(fmt.Sprintf("load=%.2f/%s", load, arm.name), func(b *testing.B) {
				w := market(20261204)
				for range b.N {
					jobs := w.jobs(length, func(time.Duration) float64 { return load })
					simulate(w, arm.create(w), jobs, length)
					short := waits(jobs, model.ClassShort, warm, length)
					long := waits(jobs, model.ClassLong, warm, length)
					b.ReportMetric(quantile(short, 0.5), "short_p50_ms")
					b.ReportMetric(quantile(short, 0.99), "short_p99_ms")
					b.ReportMetric(quantile(short, 0.999), "short_p99.9_ms")
					b.ReportMetric(quantile(long, 0.99), "long_p99_ms")
					b.ReportMetric(float64(refused(jobs)), "refused")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func refused(jobs []*job) int {
	count := 0
	for _, j := range jobs {
		if j.refused {
			count++
		}
	}
	return count
}

// crest is half of the capacity, tripled within 2 s, held for 10 s and halved
// again to the start.
const (
	crestFrom = 20 * time.Second
	crestRise = 2 * time.Second
	crestHold = 10 * time.Second
	crestOver = crestFrom + crestRise + crestHold
)

func crestLoad(at time.Duration) float64 {
	switch {
	case at < crestFrom || at >= crestOver:
		return 0.5
	case at < crestFrom+crestRise:
		return 0.5 + float64(at-crestFrom)/float64(crestRise)
	default:
		return 1.5
	}
}

// BenchmarkCrest measures what is answered in time while the load is one and a
// half times the capacity, how fast the rest is refused, and when the waits are
// normal again.
func BenchmarkCrest(b *testing.B) {
	const length = 50 * time.Second
	for _, arm := range arms {
		b.Run(arm.name, func(b *testing.B) {
			w := market(20261204)
			for range b.N {
				jobs := w.jobs(length, crestLoad)
				simulate(w, arm.create(w), jobs, length)
				crest := measureCrest(w, jobs)
				b.ReportMetric(100*crest.capacityInTime, "%capacity_in_time")
				b.ReportMetric(100*crest.shortInTime, "%short_in_time")
				b.ReportMetric(crest.refusalP99, "refusal_p99_ms")
				b.ReportMetric(crest.recovery.Seconds(), "recovery_s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// crestFigures are what a crest is measured by.
type crestFigures struct {
	capacityInTime float64
	shortInTime    float64
	refusalP99     float64
	recovery       time.Duration
}

// measureCrest counts the work answered within its deadline during the hold, in
// slot time, against the capacity.
func measureCrest(w workload, jobs []*job) crestFigures {
	from, to := crestFrom+crestRise, crestOver
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
	return crestFigures{
		capacityInTime: float64(inTime) / slotTime,
		shortInTime:    float64(shortInTime) / float64(short),
		refusalP99:     quantile(refusals, 0.99),
		recovery:       recovery(jobs),
	}
}

// recovery returns the time after the crest until the 99th percentile wait of
// short work, by half seconds, is below 20 ms and stays there.
func recovery(jobs []*job) time.Duration {
	const step = 500 * time.Millisecond
	last := time.Duration(0)
	for at := crestOver; at < crestOver+15*time.Second; at += step {
		if quantile(waits(jobs, model.ClassShort, at, at+step), 0.99) > 20 {
			last = at + step - crestOver
		}
	}
	return last
}
