package front

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the counters of callers' requests.
type metrics struct {
	answers     *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	connections prometheus.Counter
	durations   prometheus.Histogram
	hedges      prometheus.Counter
	own         *prometheus.CounterVec
}

// The buckets of the time until an answer, in seconds: 5 ms to 10 s.
const (
	firstBucket  = 0.005
	bucketFactor = 2
	buckets      = 12
)

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_front_answers_total",
			Help: "Answers of servers passed on, by service and class of status.",
		}, []string{"service", "status_class"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_front_attempts_total",
			Help: "Attempts on servers, by outcome.",
		}, []string{"outcome"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_front_connections_total",
			Help: "Connections opened to servers.",
		}),
		durations: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dandeliondoor_front_answer_seconds",
			Help:    "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets),
		}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dandeliondoor_front_hedges_total",
			Help: "Idempotent requests sent to a second server while the first one was at work.",
		}),
		own: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_front_own_answers_total",
			Help: "Answers of the fleet itself, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(m.answers, m.attempts, m.connections, m.durations, m.hedges, m.own)
	return m
}

func statusClass(status int) string { return strconv.Itoa(status/100) + "xx" }

// contentLength returns the length of an answer's body; that of an answer to
// HEAD is the one that the server gave.
func contentLength(a *answer) string {
	if a.length >= 0 {
		return strconv.FormatInt(a.length, 10)
	}
	return strconv.Itoa(len(a.kept))
}

// ignoreNoBody drops the error of writing nothing to an answer without a body.
func ignoreNoBody(err error) error {
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return err
}
