package retry

import "math"

// The limits of a budget, in tokens, and the percentage that adds up to one token.
const (
	initialTokens   = 5
	maxTokens       = 50
	percentPerRetry = 100
)

// Budget limits retries to a percentage of the successful requests. Each token
// allows one retry.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget that allows a few retries before the first successful
// request.
func NewBudget() *Budget {
	return &Budget{tokens: initialTokens}
}

// RecordSuccess records a successful request, which adds the given percentage of one
// retry to the budget.
func (b *Budget) RecordSuccess(percent int) {
	b.tokens = math.Min(b.tokens+float64(percent)/percentPerRetry, maxTokens)
}

// Take takes one retry from the budget and reports whether there was one left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return b.tokens }
