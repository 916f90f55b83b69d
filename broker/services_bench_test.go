package broker_test

import (
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/model"
)

// BenchmarkServices measures the services of both companies at their current
// sizes: the waits at load 0.9, compared with two random choices, and the response
// to a load surge.
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
			w := catalogueWorkload(20261204)
			w.upstreams = service.upstreams
			for range b.N {
				load := func(time.Duration) float64 { return 0.9 }
				baseline, brokered := w.jobs(length, load), w.jobs(length, load)
				simulate(w, newTwoChoices(w, false), baseline, length)
				simulate(w, newBrokerChooser(w, broker.LongByDemand{}), brokered, length)
				surge := w.jobs(50*time.Second, surgeLoad)
				simulate(w, newBrokerChooser(w, broker.LongByDemand{}), surge, 50*time.Second)
				result := measureSurge(w, surge)
				b.ReportMetric(quantile(waits(baseline, model.ClassShort, warm, length), 0.99), "two_choices_p99_ms")
				b.ReportMetric(quantile(waits(brokered, model.ClassShort, warm, length), 0.99), "short_p99_ms")
				b.ReportMetric(quantile(waits(brokered, model.ClassLong, warm, length), 0.99), "long_p99_ms")
				b.ReportMetric(100*result.capacityInTime, "%capacity_in_time")
				b.ReportMetric(result.recovery.Seconds(), "recovery_s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
