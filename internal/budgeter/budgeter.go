// Package budgeter bounds retries to a share of calls.
package budgeter

// maxTokens bounds the retries that quiet times save up.
const maxTokens = 10

// Budget is a token bucket that calls fill and retries empty. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// New returns a budget that allows a few retries at once.
func New() *Budget { return &Budget{tokens: maxTokens} }

// Earn notes a first attempt. The share is that of retries to calls.
func (b *Budget) Earn(share float64) {
	b.tokens = min(b.tokens+share, maxTokens)
}

// Holds tells whether there are tokens for a retry.
func (b *Budget) Holds() bool { return b.tokens >= 1 }

// Spend takes the tokens for one retry, or reports that there are none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
