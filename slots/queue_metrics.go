package slots

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandeliondoor/choose"
)

// The buckets of the wait for a server, in seconds: 5 ms to 5 s.
const (
	firstWaitBucket  = 0.005
	waitBucketFactor = 2
	waitBuckets      = 11
)

// QueueMetrics are the Prometheus metrics of waiting asks. A nil value records nothing.
type QueueMetrics struct {
	depth    *prometheus.GaugeVec
	waits    *prometheus.HistogramVec
	assigned *prometheus.CounterVec
	refused  *prometheus.CounterVec
	retries  *prometheus.GaugeVec
	lost     prometheus.Counter
	// ticked is when Broker.Tick last ended.
	ticked atomic.Pointer[time.Time]
}

// NewQueueMetrics returns metrics that are registered with a registry. Broker is the value
// of their label of that name.
func NewQueueMetrics(registry prometheus.Registerer, broker string) *QueueMetrics {
	labels := prometheus.Labels{"broker": broker}
	m := &QueueMetrics{
		depth: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "dandeliondoor_queue_depth", Help: "Asks that wait for a server.", ConstLabels: labels,
		}, []string{"priority"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "dandeliondoor_queue_wait_seconds", Help: "Time from an ask to its decision.", ConstLabels: labels,
			Buckets: prometheus.ExponentialBuckets(firstWaitBucket, waitBucketFactor, waitBuckets),
		}, []string{"priority"}),
		assigned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_queue_assigned_total", Help: "Asks that a server was assigned to.", ConstLabels: labels,
		}, []string{"priority"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_queue_refused_total", Help: "Asks that were refused, by reason.", ConstLabels: labels,
		}, []string{"reason", "priority"}),
	}
	m.retries = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "dandeliondoor_queue_window_retries", ConstLabels: labels,
		Help: "Retries, hedges and probes in the window of the retry limits, by use.",
	}, []string{"use"})
	m.lost = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "dandeliondoor_queue_lost_attempts_total", ConstLabels: labels,
		Help: "Attempts that gave back their room because their daemon was found lost.",
	})
	start := time.Now()
	m.ticked.Store(&start)
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dandeliondoor_queue_tick_age_seconds", ConstLabels: labels,
		Help: "Time since the broker last went through its waiting asks.",
	}, func() float64 { return time.Since(*m.ticked.Load()).Seconds() })
	registry.MustRegister(age, m.lost, m.retries, m.depth, m.waits, m.assigned, m.refused)
	return m
}

// setTicked records the end of Broker.Tick.
func (m *QueueMetrics) setTicked(now time.Time) {
	if m != nil {
		m.ticked.Store(&now)
	}
}

// addLost counts the attempts of a daemon that was found lost.
func (m *QueueMetrics) addLost(attempts int) {
	if m != nil {
		m.lost.Add(float64(attempts))
	}
}

// decided counts a decision. A nil one means that the ask moved to another broker.
func (m *QueueMetrics) decided(decision choose.Decision, priority int, wait time.Duration) {
	if m == nil {
		return
	}
	label := strconv.Itoa(priority)
	m.waits.WithLabelValues(label).Observe(wait.Seconds())
	switch decision := decision.(type) {
	case choose.Granted:
		m.assigned.WithLabelValues(label).Inc()
	case choose.Refused:
		m.refused.WithLabelValues(string(decision.Reason), label).Inc()
	default:
		m.refused.WithLabelValues("moved", label).Inc()
	}
}

// setRetries sets what retries were used for.
func (m *QueueMetrics) setRetries(now time.Time, pools map[PoolKey]*choose.Pool) {
	if m == nil {
		return
	}
	var total choose.Uses
	for _, pool := range pools {
		for use, count := range pool.Uses(now) {
			total[use] += count
		}
	}
	for use, count := range total {
		m.retries.WithLabelValues(choose.Use(use).String()).Set(count)
	}
}

// setDepth sets the number of waiting asks.
func (m *QueueMetrics) setDepth(lines map[PoolKey]*line) {
	if m == nil {
		return
	}
	m.depth.Reset()
	for _, l := range lines {
		for priority, count := range l.queue.Waiting() {
			m.depth.WithLabelValues(strconv.Itoa(priority)).Add(float64(count))
		}
	}
}
