package grant

import "github.com/prometheus/client_golang/prometheus"

// Values of the decision label for decisions other than refusals, which use the
// refusal reason.
const (
	decisionGranted    = "granted"
	decisionRedirected = "redirected"
)

// metrics holds the broker's Prometheus counters.
type metrics struct {
	decisions    *prometheus.CounterVec
	ejections    *prometheus.CounterVec
	floorReached prometheus.Counter
	pathCuts     prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_decisions_total",
			Help: "Decisions on slot requests, by decision.",
		}, []string{"decision"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_ejections_total",
			Help: "Ejections of upstreams, by cause.",
		}, []string{"cause"}),
		floorReached: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_floor_reached_total",
			Help: "Ejections prevented by the capacity floor.",
		}),
		pathCuts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_broker_path_cuts_total",
			Help: "Upstream failures reported by only one entry.",
		}),
	}
	registry.MustRegister(m.decisions, m.ejections, m.floorReached, m.pathCuts)
	return m
}
