package choose

import (
	"time"
)

// budgetSteps is how finely the window of the budget slides.
const budgetSteps = 10

// RetryLimits bound second sends: in each window at most Ratio of the requests and
// Slack more.
type RetryLimits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget counts requests and second sends over a sliding window.
type Budget struct {
	limits RetryLimits
	steps  [budgetSteps]budgetStep
	at     int
	since  time.Time
}

type budgetStep struct {
	requests float64
	repeats  float64
}

// NewBudget returns a budget with an empty window.
func NewBudget(now time.Time, limits RetryLimits) *Budget {
	return &Budget{limits: limits, since: now}
}

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.roll(now)
	b.steps[b.at].requests++
}

// Left returns how many second sends the window still allows.
func (b *Budget) Left(now time.Time) float64 {
	b.roll(now)
	requests, repeats := 0.0, 0.0
	for _, step := range b.steps {
		requests += step.requests
		repeats += step.repeats
	}
	return b.limits.Ratio*requests + b.limits.Slack - repeats
}

// Take counts a second send if the window allows one.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.steps[b.at].repeats++
	return true
}

// Give takes back a second send that was not made.
func (b *Budget) Give(now time.Time) {
	b.roll(now)
	b.steps[b.at].repeats--
}

func (b *Budget) roll(now time.Time) {
	step := b.limits.Window / budgetSteps
	if step <= 0 {
		return
	}
	if now.Sub(b.since) > 2*b.limits.Window {
		b.steps = [budgetSteps]budgetStep{}
		b.since = now
		return
	}
	for now.Sub(b.since) >= step {
		b.since = b.since.Add(step)
		b.at = (b.at + 1) % budgetSteps
		b.steps[b.at] = budgetStep{}
	}
}
