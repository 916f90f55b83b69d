package queue

import (
	"math"
	"slices"
	"time"
)

const (
	// shareTime is the time constant with which demand and service lose weight. Bursts
	// last 4 to 8 s; a shorter time follows them, a longer one smooths small accounts.
	shareTime = 2 * time.Second
	// guardShare is the share of the overall ratio of service to demand below which
	// waiting asks of an account, a priority or a route go first. The bound is a quarter.
	// The excess makes up for asks that are assigned but end without a response.
	guardShare = 0.35
	// levelInterval is how long the fair share of an account is used before it is
	// computed again.
	levelInterval = 50 * time.Millisecond
	// maxMeters bounds the accounts, routes and priorities that are told apart. All
	// further ones are counted together.
	maxMeters = 4096
	// negligible is the demand, in seconds of work, below which a meter is dropped.
	negligible = 0.001
)

// meter counts demand and service, in seconds of work. Instead of decaying all values, new
// ones get a weight that grows with shareTime, so that meters compare without an update.
type meter struct {
	demand  float64
	service float64
	waiting int
}

// scale is the weight of new values. It starts again from 1 before it gets too large.
type scale struct{ start time.Time }

// rescaleTime is when a scale starts again: its weight has then reached e^30.
const rescaleTime = 30 * shareTime

// weight returns the weight of values recorded at a time.
func (s *scale) weight(now time.Time) float64 {
	return math.Exp(max(now.Sub(s.start), 0).Seconds() / shareTime.Seconds())
}

// meters holds the meters of the accounts, routes or priorities.
type meters[K comparable] struct {
	byKey  map[K]*meter
	others meter
}

func newMeters[K comparable]() meters[K] { return meters[K]{byKey: make(map[K]*meter)} }

// at returns the meter of a key.
func (m *meters[K]) at(key K) *meter {
	known, found := m.byKey[key]
	switch {
	case found:
		return known
	case len(m.byKey) >= maxMeters:
		return &m.others
	default:
		known = &meter{}
		m.byKey[key] = known
		return known
	}
}

// sweep drops the meters without recent demand; weight is that of new values.
func (m *meters[K]) sweep(weight float64) {
	for key, known := range m.byKey {
		if known.waiting == 0 && max(known.demand, known.service) < negligible*weight {
			delete(m.byKey, key)
		}
	}
}

// divide divides all values.
func (m *meters[K]) divide(by float64) {
	m.others.divide(by)
	for _, known := range m.byKey {
		known.divide(by)
	}
}

func (m *meter) divide(by float64) { m.demand, m.service = m.demand/by, m.service/by }

// level returns the max-min fair share: the service that each account may get if none
// gets more than its demand and all together get the total.
func (m *meters[K]) level(total float64) float64 {
	demands := make([]float64, 0, len(m.byKey)+1)
	for _, known := range m.byKey {
		demands = append(demands, known.demand)
	}
	if m.others.demand > 0 {
		demands = append(demands, m.others.demand)
	}
	slices.Sort(demands)
	for i, demand := range demands {
		equal := total / float64(len(demands)-i)
		if demand >= equal {
			return equal
		}
		total -= demand
	}
	return math.Inf(1)
}
