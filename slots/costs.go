package slots

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"dandeliondoor/choose"
	"dandeliondoor/costs"
)

// fallbackLimits bound the estimates of a pool of the local fallback broker. While a
// daemon reaches no other, it may have such a pool for each service of the platform.
var fallbackLimits = costs.Limits{Routes: 16}

// Costs are the metrics that compare estimated with actual durations, of all pools of a
// daemon.
type Costs struct {
	ratios  prometheus.Histogram
	deciles *prometheus.CounterVec
	errors  *prometheus.CounterVec
}

// The histogram buckets of the ratio of actual to estimated duration: 1/8 to 22 times.
const (
	firstRatioBucket  = 0.125
	ratioBucketFactor = 1.4142135623730951
	ratioBuckets      = 16
)

// NewCosts creates and registers the metrics.
func NewCosts(registry prometheus.Registerer) *Costs {
	c := &Costs{
		ratios: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dandeliondoor_slots_cost_ratio",
			Help:    "Actual duration of a request on its server as a multiple of the estimated mean.",
			Buckets: prometheus.ExponentialBuckets(firstRatioBucket, ratioBucketFactor, ratioBuckets),
		}),
		deciles: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_slots_cost_decile_total",
			Help: "Requests by the tenth of their estimated distribution, 0 to 9, that they fell into; equal if calibrated.",
		}, []string{"decile"}),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dandeliondoor_slots_cost_squared_errors_total",
			Help: "Squared errors of the estimated log duration without and with a trait, which explains 1 - with/without.",
		}, []string{"trait", "estimate"}),
	}
	registry.MustRegister(c.ratios, c.deciles, c.errors)
	return c
}

// observe records a comparison of an estimate with the actual duration.
func (c *Costs) observe(observation costs.Observation) {
	c.ratios.Observe(observation.Ratio)
	c.deciles.WithLabelValues(strconv.Itoa(observation.Decile)).Inc()
	for trait, errors := range observation.SquaredErrors {
		if errors.Without > 0 {
			name := costs.Trait(trait).String()
			c.errors.WithLabelValues(name, "without").Add(errors.Without)
			c.errors.WithLabelValues(name, "with").Add(errors.With)
		}
	}
}

// WithCosts makes the broker select servers by the estimated cost of their requests.
func WithCosts(metrics *Costs) BrokerOption { return func(b *Broker) { b.costs = metrics } }

// poolOptions returns the options of a new pool.
func (b *Broker) poolOptions() []choose.Option {
	if b.costs == nil {
		return nil
	}
	limits := costs.DefaultLimits
	if b.fallback {
		limits = fallbackLimits
	}
	return []choose.Option{choose.WithCosts(costs.NewModel(limits, b.costs.observe))}
}
