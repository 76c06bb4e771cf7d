// Package budgeter bounds retries to a share of calls.
package budgeter

const (
	// nodeTokens bounds the retries that quiet times save up on one node.
	nodeTokens = 10
	// meshTokens bounds what all nodes of a mesh save up together, so that a fault that all of them meet at once does
	// not lead to more retries the larger the mesh is.
	meshTokens = 150
)

// Budget is a token bucket that calls fill and retries empty. It is not safe for concurrent use.
type Budget struct {
	// tokens is at most limit, which is at least 1.
	tokens float64
	limit  float64
}

// New returns a budget that allows a few retries at once, on one of the nodes of a mesh.
func New(nodes int) *Budget {
	limit := limitOf(nodes)
	return &Budget{tokens: limit, limit: limit}
}

// limitOf returns what one of the nodes may save up.
func limitOf(nodes int) float64 {
	return min(max(meshTokens/float64(max(nodes, 1)), 1), nodeTokens)
}

// Resize adapts the budget to the number of nodes.
func (b *Budget) Resize(nodes int) {
	b.limit = limitOf(nodes)
	b.tokens = min(b.tokens, b.limit)
}

// Earn notes a first attempt. The share is that of retries to calls.
func (b *Budget) Earn(share float64) {
	b.tokens = min(b.tokens+share, b.limit)
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
