package credit

import "github.com/prometheus/client_golang/prometheus"

// Descriptions of the metrics.
var (
	delegatedDesc = prometheus.NewDesc("dandeliondoor_credit_delegated_share",
		"Share of the quotas that this daemon delegates to allocators.", nil, nil)
	allocatedDesc = prometheus.NewDesc("dandeliondoor_credit_allocated_share",
		"Share of the quotas that is delegated to this daemon, summed over its roles.", nil, nil)
	ageDesc = prometheus.NewDesc("dandeliondoor_credit_view_age_seconds",
		"Age of the view by which this daemon issues tokens.", nil, nil)
	issuedDesc = prometheus.NewDesc("dandeliondoor_credit_issued_total",
		"Tokens that this daemon issued as an allocator.", nil, nil)
	tokensDesc = prometheus.NewDesc("dandeliondoor_credit_tokens_total",
		"Tokens of this daemon's brokers, by what became of them.", []string{"event"}, nil)
	asksDesc = prometheus.NewDesc("dandeliondoor_credit_asks_total",
		"Requests that got no token, by verdict.", []string{"verdict"}, nil)
)

var _ prometheus.Collector = &Service{}

// Describe implements prometheus.Collector.
func (s *Service) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{delegatedDesc, allocatedDesc, ageDesc, issuedDesc, tokensDesc, asksDesc} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (s *Service) Collect(metrics chan<- prometheus.Metric) {
	s.mutex.Lock()
	now := s.clock()
	delegated, allocator, tokens := s.delegator.Delegated(now), s.allocator.State(now), s.wallet.Stats()
	age := 0.0
	if !s.freshAt.IsZero() {
		age = now.Sub(s.freshAt).Seconds()
	}
	s.mutex.Unlock()
	allocated := 0.0
	for _, role := range allocator.Roles {
		allocated += role.Share
	}
	gauge := func(description *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
	counter := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, value, labels...)
	}
	gauge(delegatedDesc, delegated)
	gauge(allocatedDesc, allocated)
	gauge(ageDesc, age)
	counter(issuedDesc, allocator.Issued)
	counter(tokensDesc, tokens.Received, "received")
	counter(tokensDesc, tokens.Consumed, "consumed")
	counter(tokensDesc, tokens.Returned, "returned")
	counter(tokensDesc, tokens.GivenBack, "given_back")
	counter(tokensDesc, tokens.Expired, "expired")
	counter(asksDesc, float64(tokens.Refused), "exhausted")
	counter(asksDesc, float64(tokens.Pending), "pending")
}
