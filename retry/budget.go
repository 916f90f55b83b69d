package retry

import "math"

// The bounds of a budget, in retries.
const (
	initialTokens = 5
	maxTokens     = 50
	percentAll    = 100
)

// Budget bounds retries to a share of the successes.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget that allows a few retries before the first
// success.
func NewBudget() *Budget {
	return &Budget{tokens: initialTokens}
}

// Succeeded adds the given percentage of one retry.
func (b *Budget) Succeeded(percent int) {
	b.tokens = math.Min(b.tokens+float64(percent)/percentAll, maxTokens)
}

// Take reports whether a retry is allowed and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries left.
func (b *Budget) Tokens() float64 { return b.tokens }
