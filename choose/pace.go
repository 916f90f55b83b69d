package choose

import (
	"math"
	"time"

	"dandeliondoor/costs"
)

// Parameters of a server's speed as placement by cost estimates it. It consists of a
// lasting factor and of spells in which the server is spellFactor times slower; the
// platform's servers have spells of 4 to 12 times for 5 to 9 s.
const (
	spellFactor = 6
	// spellPrior is the share of time in spells that is assumed, and spellPeriod their
	// mean length.
	spellPrior  = 0.03
	spellPeriod = 7 * time.Second
	minSpell    = 0.005
	maxSpell    = 0.97
	// spellLearning is the probability of a spell from which durations say nothing of
	// the requests.
	spellLearning = 0.3
	// paceMemory bounds the weight of the lasting factor, in observations, and
	// paceShrinkage is the weight of the assumption that the server is typical.
	paceMemory    = 60
	paceShrinkage = 6
	// maxPaceLog bounds what one observation adds to the logarithm of the lasting factor.
	maxPaceLog = 1.5
)

var logSpellFactor = math.Log(spellFactor)

// pace is the speed of a server: the mean of the logarithm of its factor with a weight
// in observations, and the probability that it is in a spell as of a time.
type pace struct {
	log       float64
	weight    float64
	spell     float64
	updatedAt time.Time
}

// lasting returns the logarithm of the lasting factor.
func (e *pace) lasting() float64 { return e.log * e.weight / (e.weight + paceShrinkage) }

// inSpell returns the probability of a spell.
func (e *pace) inSpell(now time.Time) float64 {
	decay := math.Exp(-max(now.Sub(e.updatedAt), 0).Seconds() / spellPeriod.Seconds())
	return spellPrior + (e.spell-spellPrior)*decay
}

// observe learns from a request that ran for a time.
func (e *pace) observe(now time.Time, estimate costs.Estimate, ran time.Duration) {
	lasting := e.lasting()
	e.update(now, estimate.Likelihood(ran, lasting+logSpellFactor), estimate.Likelihood(ran, lasting))
	if e.spell > spellLearning {
		return
	}
	e.weight = min(e.weight+1, paceMemory)
	e.log += (min(max(estimate.LogRatio(ran), -maxPaceLog), maxPaceLog) - e.log) / e.weight
}

// observeAbove learns from a request that was given up after it ran for a time.
func (e *pace) observeAbove(now time.Time, estimate costs.Estimate, ran time.Duration) {
	logRan, lasting := math.Log(ran.Seconds()), e.lasting()
	e.update(now, estimate.ExceedsLog(logRan, lasting+logSpellFactor), estimate.ExceedsLog(logRan, lasting))
}

// update applies Bayes' rule to the probability of a spell. Least keeps an observation
// beyond all known ones from deciding alone.
func (e *pace) update(now time.Time, inSpell, outside float64) {
	const least = 0.002
	e.spell = spellPosterior(e.inSpell(now), inSpell+least, outside+least)
	e.updatedAt = now
}

func spellPosterior(prior, inSpell, outside float64) float64 {
	return min(max(prior*inSpell/(prior*inSpell+(1-prior)*outside), minSpell), maxSpell)
}
