package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the entry's counters.
type metrics struct {
	answers *prometheus.CounterVec
	own     *prometheus.CounterVec
	retries prometheus.Counter
	waits   prometheus.Histogram
}

// The buckets of the wait for a slot, in seconds.
const (
	firstWaitBucket  = 0.0005
	waitBucketFactor = 2
	waitBuckets      = 16
)

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_entry_answers_total",
			Help: "Answers of upstreams passed on, by service and class of status.",
		}, []string{"service", "status_class"}),
		own: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_entry_own_answers_total",
			Help: "Answers of the system itself, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_entry_retries_total",
			Help: "Requests sent to another upstream after a failed attempt.",
		}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dandeliondoor_entry_slot_wait_seconds",
			Help:    "Time until a request had a slot.",
			Buckets: prometheus.ExponentialBuckets(firstWaitBucket, waitBucketFactor, waitBuckets),
		}),
	}
	registry.MustRegister(m.answers, m.own, m.retries, m.waits)
	return m
}

func (m *metrics) count(service string, status int) {
	m.answers.WithLabelValues(service, strconv.Itoa(status/100)+"xx").Inc()
}
