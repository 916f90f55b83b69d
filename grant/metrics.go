package grant

import "github.com/prometheus/client_golang/prometheus"

// The decisions that are no refusal.
const (
	decisionGranted    = "granted"
	decisionRedirected = "redirected"
)

// metrics are the broker's counters.
type metrics struct {
	decisions *prometheus.CounterVec
	ejections *prometheus.CounterVec
	floors    prometheus.Counter
	pathCuts  prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_decisions_total",
			Help: "Decisions on asks for a slot, by decision.",
		}, []string{"decision"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_ejections_total",
			Help: "Ejections of upstreams, by cause.",
		}, []string{"cause"}),
		floors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_floor_reached_total",
			Help: "Ejections that the capacity floor forbade.",
		}),
		pathCuts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_path_cuts_total",
			Help: "Failures of an upstream that only one entry saw.",
		}),
	}
	registry.MustRegister(m.decisions, m.ejections, m.floors, m.pathCuts)
	return m
}
