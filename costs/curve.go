package costs

import (
	"math"
	"slices"
)

// The grid of a curve: the natural logarithm of the ratio of actual to predicted
// duration, from curveFrom in steps of curveStep. The range of 0.02 to 120 covers a
// server that is 12 times slower at a request of 5 times the usual work.
const (
	curveBins = 88
	curveFrom = -4.0
	curveStep = 0.1
)

const (
	// priorWeight is the weight, in observations, of the shape that is assumed before
	// any is known: log-normal with priorSigma, and priorTailShare of the requests
	// with priorTailFactor times the work.
	priorWeight     = 20
	priorSigma      = 0.6
	priorTailShare  = 0.02
	priorTailFactor = 5
	// curveMemory is the number of observations after which an older one has lost most
	// of its weight.
	curveMemory = 2000
	// rebuildInterval is the number of observations between two updates of the tables.
	rebuildInterval = 32
)

// curve is the distribution of the ratio of actual to predicted duration. Counts holds
// the weight of each bin without the prior. Survival and excess are tables for the
// lower ends of the bins: the probability of a higher ratio, and the mean of what the
// ratio exceeds the end by if it does.
type curve struct {
	counts   [curveBins]float32
	survival [curveBins + 1]float32
	excess   [curveBins + 1]float32
	pending  int
}

func newCurve() *curve {
	c := &curve{}
	c.rebuild()
	return c
}

// priorShape is the weight of each bin before any observation.
var priorShape = func() [curveBins]float64 {
	var shape [curveBins]float64
	below := func(z float64) float64 {
		normal := func(z float64) float64 { return 0.5 * math.Erfc(-z/priorSigma/math.Sqrt2) }
		return (1-priorTailShare)*normal(z) + priorTailShare*normal(z-math.Log(priorTailFactor))
	}
	for i := range shape {
		shape[i] = priorWeight * (below(binStart(i+1)) - below(binStart(i)))
	}
	return shape
}()

func binStart(i int) float64 { return curveFrom + curveStep*float64(i) }

// position returns the bin of a logarithm and the place within it, from 0 to 1.
func position(z float64) (bin int, part float64) {
	at := min(max((z-curveFrom)/curveStep, 0), curveBins-1e-6)
	bin = int(at)
	return bin, at - float64(bin)
}

// observe adds a ratio.
func (c *curve) observe(z float64) {
	bin, _ := position(z)
	c.decay()
	c.counts[bin]++
	c.count()
}

// observeAbove adds a ratio of which only a lower bound is known. It is divided among the
// higher bins in the proportions known so far.
func (c *curve) observeAbove(z float64) {
	bin, part := position(z)
	above := c.survives(z)
	c.decay()
	if above <= 0 {
		c.counts[curveBins-1]++
		c.count()
		return
	}
	for i := bin; i < curveBins; i++ {
		mass := float64(c.survival[i] - c.survival[i+1])
		if i == bin {
			mass *= 1 - part
		}
		c.counts[i] += float32(mass / above)
	}
	c.count()
}

func (c *curve) count() {
	c.pending++
	if c.pending >= rebuildInterval {
		c.rebuild()
	}
}

func (c *curve) decay() {
	for i := range c.counts {
		c.counts[i] *= 1 - 1.0/curveMemory
	}
}

// rebuild computes the tables.
func (c *curve) rebuild() {
	c.pending = 0
	above, sum := 0.0, 0.0
	for i, prior := range slices.Backward(priorShape[:]) {
		weight := float64(c.counts[i]) + prior
		above += weight
		sum += weight * math.Exp(binStart(i)+curveStep/2)
		c.survival[i] = float32(above)
		c.excess[i] = float32(max(sum/above-math.Exp(binStart(i)), 0))
	}
	for i := range c.survival {
		c.survival[i] /= float32(above)
	}
	// Beyond the grid, a request is expected to take as long again.
	c.excess[curveBins] = float32(math.Exp(binStart(curveBins)))
}

// survives returns the probability of a ratio whose logarithm is above z.
func (c *curve) survives(z float64) float64 {
	bin, part := position(z)
	return float64(c.survival[bin])*(1-part) + float64(c.survival[bin+1])*part
}

// remains returns the mean excess over a ratio whose logarithm is z.
func (c *curve) remains(z float64) float64 {
	if z < curveFrom {
		return c.mean()
	}
	bin, part := position(z)
	return float64(c.excess[bin])*(1-part) + float64(c.excess[bin+1])*part
}

// mean returns the mean ratio.
func (c *curve) mean() float64 { return float64(c.excess[0]) + math.Exp(curveFrom) }

// quantile returns the logarithm of the ratio that a share does not exceed.
func (c *curve) quantile(share float64) float64 {
	for i := range curveBins {
		if float64(c.survival[i+1]) <= 1-share {
			span := float64(c.survival[i] - c.survival[i+1])
			part := 0.0
			if span > 0 {
				part = (float64(c.survival[i]) - (1 - share)) / span
			}
			return binStart(i) + part*curveStep
		}
	}
	return binStart(curveBins)
}
