package simul

import (
	"math"
	"math/rand/v2"
	"time"

	"dandeliondoor/costs"
)

// workStream separates the random numbers of the requests' work from all others, so that
// each rule of placement gets the same requests.
const workStream = 0x776f726b

// draw returns the work of a request and its traits. The work is 0 if the server draws
// it.
func (c *Class) draw(random *rand.Rand) (time.Duration, costs.Traits) {
	traits := costs.Traits{Route: routePrefix + c.Name}
	if c.Sigma <= 0 {
		return 0, traits
	}
	left, value := 1.0, 0.0
	for _, p := range c.Predictors {
		index := random.IntN(p.Values)
		p.set(&traits, index)
		effect := p.effect(index)
		value += math.Sqrt(p.Share) * effect
		left -= p.Share
	}
	value += math.Sqrt(max(left, 0)) * random.NormFloat64()
	work := scale(c.Work, math.Exp(c.Sigma*value-c.Sigma*c.Sigma/2))
	if random.Float64() < c.TailShare {
		work = scale(work, c.TailFactor)
	}
	return work, traits
}

// set sets the trait of a request to the value with an index.
func (p *Predictor) set(traits *costs.Traits, index int) {
	value := uint64(index) + 1
	switch p.Trait {
	case costs.TraitAccount.String():
		traits.Account = "account-" + string(rune('a'+index%26)) + string(rune('a'+index/26))
	case costs.TraitBody.String():
		traits.BodyBytes = 1 << value
	case costs.TraitPath.String():
		traits.Path = value
	case costs.TraitQuery.String():
		traits.Query = value
	}
}

// effect returns the standardized effect of a value, which is the same in all runs.
func (p *Predictor) effect(index int) float64 {
	seed := [32]byte{byte(index), byte(index >> 8), byte(index >> 16), byte(index >> 24), byte(len(p.Trait))}
	return rand.New(rand.NewChaCha8(seed)).NormFloat64()
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
