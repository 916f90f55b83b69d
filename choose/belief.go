package choose

import (
	"math"
	"time"
)

// The model of a server that fails for spells: by turns it is sound and bad, and
// its requests fail with a probability of its own in each state.
const (
	// failSound is how often a request fails on a sound server.
	failSound = 0.02
	// failBad is how often a request fails on a bad server.
	failBad = 0.85
	// minBad and maxBad bound the probability that a server is bad, so that a
	// few outcomes can always change it.
	minBad = 0.002
	maxBad = 0.995
	// forgetTime is the time constant with which what was seen of a server
	// loses its meaning; spells of some seconds are usual.
	forgetTime = 6 * time.Second
	// initialBad is the share of bad servers that is expected before anything
	// was seen.
	initialBad = 0.15
)

// belief is the probability that a server is bad, at a time.
type belief struct {
	bad float64
	at  time.Time
}

// now returns the probability at a later time: it approaches the share of bad
// servers among all.
func (b belief) now(now time.Time, share float64) float64 {
	elapsed := max(now.Sub(b.at), 0)
	kept := math.Exp(-elapsed.Seconds() / forgetTime.Seconds())
	return share + (b.bad-share)*kept
}

// observe updates the probability by an event that has the given likelihoods on
// a bad and on a sound server.
func (b *belief) observe(now time.Time, share, ifBad, ifSound float64) {
	prior := b.now(now, share)
	b.bad = posterior(prior, ifBad, ifSound)
	b.at = now
}

func posterior(prior, ifBad, ifSound float64) float64 {
	bad := prior * ifBad
	sound := (1 - prior) * ifSound
	return min(max(bad/(bad+sound), minBad), maxBad)
}
