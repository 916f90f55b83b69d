package broker_test

import (
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/model"
)

// BenchmarkServices measures each service of both firms at its size of today:
// waits of short work at load 0.9 beside two random choices, and the crest.
func BenchmarkServices(b *testing.B) {
	const length, warm = 120 * time.Second, 10 * time.Second
	for _, service := range []struct {
		name      string
		upstreams int
	}{
		{name: "cantabria/agenda", upstreams: 16},
		{name: "cantabria/caja", upstreams: 8},
		{name: "fes/caisse-regie", upstreams: 16},
		{name: "fes/souk-catalogue", upstreams: 20},
	} {
		b.Run(service.name, func(b *testing.B) {
			w := market(20261204)
			w.upstreams = service.upstreams
			for range b.N {
				load := func(time.Duration) float64 { return 0.9 }
				two, own := w.jobs(length, load), w.jobs(length, load)
				simulate(w, newAlone(w, false), two, length)
				simulate(w, newBrokered(w, broker.LongByDemand{}), own, length)
				crowd := w.jobs(50*time.Second, crestLoad)
				simulate(w, newBrokered(w, broker.LongByDemand{}), crowd, 50*time.Second)
				crest := measureCrest(w, crowd)
				b.ReportMetric(quantile(waits(two, model.ClassShort, warm, length), 0.99), "two_choices_p99_ms")
				b.ReportMetric(quantile(waits(own, model.ClassShort, warm, length), 0.99), "short_p99_ms")
				b.ReportMetric(quantile(waits(own, model.ClassLong, warm, length), 0.99), "long_p99_ms")
				b.ReportMetric(100*crest.capacityInTime, "%capacity_in_time")
				b.ReportMetric(crest.recovery.Seconds(), "recovery_s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
