package grant

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandeliondoor/model"
)

// maxLoadAge is the age after which a reported load is ignored.
const maxLoadAge = 5 * time.Second

// Fallback chooses upstreams without a broker. It picks two candidates at random
// and takes the one with fewer requests in flight from this entry; on a tie, the
// one with the lower reported load. It does no I/O, reads no clock and is not safe
// for concurrent use.
type Fallback struct {
	random    *rand.Rand
	upstreams map[string]*upstreamStats
}

// upstreamStats is the state of an upstream as seen by this entry's requests.
type upstreamStats struct {
	inFlight int
	load     float64
	loadAt   time.Time
	draining bool
}

// NewFallback returns a Fallback without any observations; seed initializes its
// random choices.
func NewFallback(seed uint64) *Fallback {
	return &Fallback{
		random:    rand.New(rand.NewPCG(seed, seed)),
		upstreams: make(map[string]*upstreamStats),
	}
}

// RequestStarted records the start of a request to an upstream.
func (f *Fallback) RequestStarted(upstream string) {
	f.stats(upstream).inFlight++
}

// RequestEnded records the end of a request and the load and draining state that
// the upstream reported. If load is negative, the upstream reported no load, and
// draining is ignored.
func (f *Fallback) RequestEnded(now time.Time, upstream string, load float64, draining bool) {
	seen := f.stats(upstream)
	seen.inFlight--
	if load >= 0 {
		seen.load, seen.loadAt, seen.draining = load, now, draining
	}
	if seen.inFlight == 0 && load < 0 {
		delete(f.upstreams, upstream)
	}
}

// Choose returns one of the candidates, or false if none is usable. Candidates are
// unusable if they are excluded or draining, or if this entry's requests alone
// occupy all their slots.
func (f *Fallback) Choose(now time.Time, candidates []model.Upstream, excluded func(model.Upstream) bool) (model.Upstream, bool) {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(upstream model.Upstream) bool {
		seen := f.stats(upstream.Name)
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
	seenA, seenB := f.stats(a.Name), f.stats(b.Name)
	if seenA.inFlight != seenB.inFlight {
		return seenA.inFlight > seenB.inFlight
	}
	return f.freshLoad(now, seenA) > f.freshLoad(now, seenB)
}

func (f *Fallback) freshLoad(now time.Time, seen *upstreamStats) float64 {
	if now.Sub(seen.loadAt) > maxLoadAge {
		return 0
	}
	return seen.load
}

func (f *Fallback) stats(upstream string) *upstreamStats {
	seen, known := f.upstreams[upstream]
	if !known {
		seen = &upstreamStats{}
		f.upstreams[upstream] = seen
	}
	return seen
}
