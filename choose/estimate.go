package choose

import (
	"math"
	"time"
)

// Parameters of the two-state model of a server: it alternates between healthy
// and unhealthy periods, and its requests fail with a fixed probability in each
// state.
const (
	// healthyFailureProb is the probability that a request fails on a healthy
	// server.
	healthyFailureProb = 0.02
	// unhealthyFailureProb is the probability that a request fails on an
	// unhealthy server.
	unhealthyFailureProb = 0.85
	// minUnhealthyProb and maxUnhealthyProb bound the estimate, so that a few
	// outcomes can always change it.
	minUnhealthyProb = 0.002
	maxUnhealthyProb = 0.995
	// estimateDecayTime is the time constant with which past observations of a
	// server lose weight; unhealthy periods usually last some seconds.
	estimateDecayTime = 6 * time.Second
	// initialUnhealthyShare is the expected share of unhealthy servers before
	// any outcome is known.
	initialUnhealthyShare = 0.15
)

// healthEstimate is the probability that a server is unhealthy, as of a time.
type healthEstimate struct {
	unhealthy float64
	updatedAt time.Time
}

// probability returns the probability at a later time: without observations it
// decays towards the share of unhealthy servers in the pool.
func (e healthEstimate) probability(now time.Time, unhealthyShare float64) float64 {
	elapsed := max(now.Sub(e.updatedAt), 0)
	decay := math.Exp(-elapsed.Seconds() / estimateDecayTime.Seconds())
	return unhealthyShare + (e.unhealthy-unhealthyShare)*decay
}

// observe updates the probability with an event that has the given likelihoods
// on an unhealthy and on a healthy server.
func (e *healthEstimate) observe(now time.Time, unhealthyShare, ifUnhealthy, ifHealthy float64) {
	prior := e.probability(now, unhealthyShare)
	e.unhealthy = posterior(prior, ifUnhealthy, ifHealthy)
	e.updatedAt = now
}

// posterior applies Bayes' rule and bounds the result.
func posterior(prior, ifUnhealthy, ifHealthy float64) float64 {
	unhealthy := prior * ifUnhealthy
	healthy := (1 - prior) * ifHealthy
	return min(max(unhealthy/(unhealthy+healthy), minUnhealthyProb), maxUnhealthyProb)
}
