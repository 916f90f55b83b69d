package costs

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trait is a property of a request that may predict its cost within its route.
type Trait uint8

// The traits, in the order in which their effects are determined.
const (
	TraitBody Trait = iota
	TraitAccount
	TraitPath
	TraitQuery
	// TraitCount is the number of traits.
	TraitCount
)

// String returns the name that metrics use.
func (t Trait) String() string { return [...]string{"body", "account", "path", "query"}[t] }

const (
	// firstDuration is assumed for a service until its first request ends.
	firstDuration = 200 * time.Millisecond
	// routeMemory bounds the weight of a route's mean, in observations, and routeDecay
	// is the time constant with which it falls to restingWeight without requests.
	routeMemory   = 200
	routeDecay    = time.Minute
	restingWeight = 8
	// routeShrinkage is the weight, in observations, of the service's mean in that of
	// a route.
	routeShrinkage = 2
	// traitMemory is the number of observations after which an older one has lost most
	// of its weight in the measurement of what a trait explains.
	traitMemory = 500
	// minTraitSamples is the number of observations from which a trait may be used.
	minTraitSamples = 60
	// usefulShare and uselessShare are the shares of variance that a trait has to
	// explain to be used, and below which it is not used any more.
	usefulShare  = 0.03
	uselessShare = 0.01
	// sampleBits is the number of bits of its key that must be 0 for a value to be kept
	// of a trait that has explained nothing in traitMemory observations: one in eight.
	sampleBits = 3
	// minSeconds bounds durations below, since they are kept as logarithms.
	minSeconds = 1e-4
)

// Limits bounds the memory of a Model: a route takes some 1.3 KB, a level (a value of a
// trait of a route) 24 bytes. Requests of further routes share one estimate.
type Limits struct {
	Routes int
	Levels int
}

// DefaultLimits are those of a broker's model: some 530 KB.
var DefaultLimits = Limits{Routes: 256, Levels: 8192}

// Observation is one comparison of an estimate with the actual duration. Ratio is actual
// by estimated mean. Decile is the tenth of the estimated distribution, from 0 to 9, that
// the actual duration is in. SquaredErrors holds, for each trait whose value was known,
// the squared errors of the logarithm without and with the trait.
type Observation struct {
	Ratio         float64
	Decile        int
	SquaredErrors [TraitCount]SquaredErrors
}

// SquaredErrors are the errors of an estimate of the logarithm of a duration.
type SquaredErrors struct {
	Without float64
	With    float64
}

// Model learns the durations of the requests of one service.
type Model struct {
	limits  Limits
	routes  map[string]*route
	others  *route
	levels  levelTable
	mean    float64
	weight  float64
	observe func(Observation)
}

// route is what is known of the requests of one route. Mean is that of the logarithm of
// the duration in seconds on a typical server.
type route struct {
	seed   uint64
	mean   float64
	weight float64
	seen   time.Time
	curve  *curve
	traits [TraitCount]traitState
}

// traitState measures what a trait explains: decayed sums of squared errors without and
// with it, and the number of observations.
type traitState struct {
	without float64
	with    float64
	samples int
	used    bool
}

// NewModel returns a model that has observed nothing. It calls observe, which may be nil,
// with each comparison.
func NewModel(limits Limits, observe func(Observation)) *Model {
	m := &Model{
		limits: limits, routes: make(map[string]*route), levels: levelTable{limit: limits.Levels},
		mean: math.Log(firstDuration.Seconds()), weight: 1, observe: observe,
	}
	m.others = m.newRoute("")
	return m
}

func (m *Model) newRoute(name string) *route {
	return &route{seed: xxhash.Sum64String(name), curve: newCurve()}
}

// Estimate returns the estimate for a request.
func (m *Model) Estimate(traits Traits) Estimate {
	r, found := m.routes[traits.Route]
	if !found {
		r = m.others
	}
	location := m.base(r)
	for trait, key := range r.keys(traits) {
		if key != 0 && r.traits[trait].used {
			location += m.effect(key)
		}
	}
	return Estimate{logSeconds: location, curve: r.curve}
}

// base returns the estimated logarithm of a route without traits, shrunk towards that of
// the service.
func (m *Model) base(r *route) float64 {
	return (r.mean*r.weight + m.mean*routeShrinkage) / (r.weight + routeShrinkage)
}

func (m *Model) effect(key uint64) float64 {
	if known := m.levels.find(key); known != nil {
		return known.effect()
	}
	return 0
}

// keys returns the keys of the levels of a request, 0 for traits that it lacks.
func (r *route) keys(traits Traits) [TraitCount]uint64 {
	var keys [TraitCount]uint64
	if traits.BodyBytes > 0 {
		keys[TraitBody] = r.key(TraitBody, uint64(bits.Len64(uint64(traits.BodyBytes))))
	}
	if traits.Account != "" {
		keys[TraitAccount] = r.key(TraitAccount, xxhash.Sum64String(traits.Account))
	}
	if traits.Path != 0 {
		keys[TraitPath] = r.key(TraitPath, traits.Path)
	}
	if traits.Query != 0 {
		keys[TraitQuery] = r.key(TraitQuery, traits.Query)
	}
	return keys
}

// key hashes a value of a trait (the finalizer of SplitMix64). It is never 0.
func (r *route) key(trait Trait, value uint64) uint64 {
	const increment, first, second = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	x := r.seed ^ value + increment*uint64(trait+1)
	x = (x ^ x>>30) * first
	x = (x ^ x>>27) * second
	return max(x^x>>31, 1)
}

// Observe learns from a request that ran to its end. Scale is how many times as long as
// on a typical server it was expected to take.
func (m *Model) Observe(now time.Time, traits Traits, scale float64, duration time.Duration) {
	estimate := m.Estimate(traits).Scaled(scale)
	z := estimate.LogRatio(duration)
	r := m.route(traits.Route)
	observation := Observation{
		Ratio:  duration.Seconds() / estimate.Mean().Seconds(),
		Decile: min(int((1-estimate.curve.survives(z))*deciles), deciles-1),
	}
	r.curve.observe(z)
	m.learn(now, r, r.keys(traits), math.Log(max(duration.Seconds(), minSeconds)/scale), &observation)
	if m.observe != nil {
		m.observe(observation)
	}
}

const deciles = 10

// ObserveAbove learns from a request that was given up after it had run for some time. It
// counts with the duration that was to be expected then.
func (m *Model) ObserveAbove(now time.Time, traits Traits, scale float64, ran time.Duration) {
	estimate := m.Estimate(traits).Scaled(scale)
	r := m.route(traits.Route)
	expected := ran + estimate.Remaining(ran)
	r.curve.observeAbove(estimate.LogRatio(ran))
	m.learn(now, r, r.keys(traits), math.Log(max(expected.Seconds(), minSeconds)/scale), nil)
}

// route returns the state of a route, which it creates if there is room.
func (m *Model) route(name string) *route {
	r, found := m.routes[name]
	switch {
	case found:
		return r
	case len(m.routes) >= m.limits.Routes:
		return m.others
	}
	r = m.newRoute(name)
	m.routes[name] = r
	return r
}

// learn updates the means with the logarithm of a duration on a typical server.
func (m *Model) learn(now time.Time, r *route, keys [TraitCount]uint64, value float64, observation *Observation) {
	residual := value - m.base(r)
	for trait, key := range keys {
		state := &r.traits[trait]
		if key == 0 || !state.keeps(key) {
			continue
		}
		effect := m.effect(key)
		if observation != nil {
			errors := SquaredErrors{Without: residual * residual, With: (residual - effect) * (residual - effect)}
			observation.SquaredErrors[trait] = errors
			state.record(errors)
		}
		if level := m.levels.put(now, key); level != nil {
			level.observe(now, residual)
		}
		if state.used {
			residual -= effect
		}
	}
	// The mean includes the effects of the traits. Without them, a part of it could move
	// to the effects, and values that are not known yet would be estimated wrongly.
	r.observe(now, value)
	m.weight = min(m.weight+1, routeMemory)
	m.mean += (value - m.mean) / m.weight
}

// observe updates the mean of the route.
func (r *route) observe(now time.Time, value float64) {
	if r.weight > restingWeight {
		decay := math.Exp(-now.Sub(r.seen).Seconds() / routeDecay.Seconds())
		r.weight = max(r.weight*decay, restingWeight)
	}
	r.seen = now
	r.weight = min(r.weight+1, routeMemory)
	r.mean += (value - r.mean) / r.weight
}

// keeps reports whether the values with a key are recorded.
func (s *traitState) keeps(key uint64) bool {
	return s.used || s.samples < traitMemory || key>>(64-sampleBits) == 0
}

// record updates the measurement, and whether the trait is used.
func (s *traitState) record(errors SquaredErrors) {
	s.without += errors.Without - s.without/traitMemory
	s.with += errors.With - s.with/traitMemory
	s.samples++
	switch share := s.share(); {
	case s.samples < minTraitSamples:
	case share > usefulShare:
		s.used = true
	case share < uselessShare:
		s.used = false
	}
}

// share returns the share of the variance that the trait explains.
func (s *traitState) share() float64 {
	if s.without <= 0 {
		return 0
	}
	return 1 - s.with/s.without
}

// Explained returns the share of the variance of a route's logarithmic durations that
// each trait explains beyond those before it. It is negative for a trait whose values
// only add noise, which the estimates ignore.
func (m *Model) Explained(route string) [TraitCount]float64 {
	var shares [TraitCount]float64
	if r, found := m.routes[route]; found {
		for trait := range r.traits {
			shares[trait] = r.traits[trait].share()
		}
	}
	return shares
}

// Size returns the number of routes and of levels that the model keeps.
func (m *Model) Size() (routes, levels int) { return len(m.routes), m.levels.used }
