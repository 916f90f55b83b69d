package grant

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandeliondoor/model"
)

// loadFreshness is how long a reported load counts.
const loadFreshness = 5 * time.Second

// Fallback chooses upstreams without a broker: of two random candidates the one
// with fewer own requests in flight, then the lower reported load. It is pure.
type Fallback struct {
	random    *rand.Rand
	upstreams map[string]*seenUpstream
}

// seenUpstream is what this entry knows of an upstream by its own requests.
type seenUpstream struct {
	inFlight int
	load     float64
	loadAt   time.Time
	draining bool
}

// NewFallback returns a choice without knowledge.
func NewFallback(seed uint64) *Fallback {
	return &Fallback{
		random:    rand.New(rand.NewPCG(seed, seed)),
		upstreams: make(map[string]*seenUpstream),
	}
}

// Began counts a request to an upstream.
func (f *Fallback) Began(upstream string) {
	f.of(upstream).inFlight++
}

// Ended counts the end of a request and what the upstream said of itself; load
// is negative when it said nothing.
func (f *Fallback) Ended(now time.Time, upstream string, load float64, draining bool) {
	seen := f.of(upstream)
	seen.inFlight--
	if load >= 0 {
		seen.load, seen.loadAt, seen.draining = load, now, draining
	}
	if seen.inFlight == 0 && load < 0 {
		delete(f.upstreams, upstream)
	}
}

// Choose returns one of the candidates that are not excluded and whose slots
// this entry does not fill by itself.
func (f *Fallback) Choose(now time.Time, candidates []model.Upstream, excluded func(model.Upstream) bool) (model.Upstream, bool) {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(upstream model.Upstream) bool {
		seen := f.of(upstream.Name)
		return seen.draining || seen.inFlight >= upstream.Slots || excluded(upstream)
	})
	if len(usable) == 0 {
		return model.Upstream{}, false
	}
	first := usable[f.random.IntN(len(usable))]
	second := usable[f.random.IntN(len(usable))]
	if f.busier(now, first, second) {
		return second, true
	}
	return first, true
}

func (f *Fallback) busier(now time.Time, a, b model.Upstream) bool {
	seenA, seenB := f.of(a.Name), f.of(b.Name)
	if seenA.inFlight != seenB.inFlight {
		return seenA.inFlight > seenB.inFlight
	}
	return f.freshLoad(now, seenA) > f.freshLoad(now, seenB)
}

func (f *Fallback) freshLoad(now time.Time, seen *seenUpstream) float64 {
	if now.Sub(seen.loadAt) > loadFreshness {
		return 0
	}
	return seen.load
}

func (f *Fallback) of(upstream string) *seenUpstream {
	seen, known := f.upstreams[upstream]
	if !known {
		seen = &seenUpstream{}
		f.upstreams[upstream] = seen
	}
	return seen
}
