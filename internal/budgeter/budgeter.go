// Package budgeter limits retries to a share of the calls.
package budgeter

const (
	// maxNodeTokens bounds the tokens of one budget, and so a burst of retries after a time with few of them.
	maxNodeTokens = 10
	// maxMeshTokens bounds the sum over all nodes, so that the burst of retries after a fault that all nodes see at
	// once does not grow with the mesh. Each node still may hold one token.
	maxMeshTokens = 150
)

// Budget is a token bucket: calls add a fraction of a token, and a retry takes a whole one. It is not safe for
// concurrent use.
type Budget struct {
	// tokens is at most limit, which is at least 1.
	tokens float64
	limit  float64
}

// New returns a full budget for one node in a mesh of the given number of nodes.
func New(nodes int) *Budget {
	limit := nodeLimit(nodes)
	return &Budget{tokens: limit, limit: limit}
}

// nodeLimit returns the capacity of a budget in tokens.
func nodeLimit(nodes int) float64 {
	return min(max(maxMeshTokens/float64(max(nodes, 1)), 1), maxNodeTokens)
}

// Resize adapts the capacity to the number of nodes. Tokens above the new capacity are lost.
func (b *Budget) Resize(nodes int) {
	b.limit = nodeLimit(nodes)
	b.tokens = min(b.tokens, b.limit)
}

// Deposit adds a fraction of a token for a first attempt: share, the allowed number of retries per call.
func (b *Budget) Deposit(share float64) {
	b.tokens = min(b.tokens+share, b.limit)
}

// CanWithdraw reports whether there is a token for a retry.
func (b *Budget) CanWithdraw() bool { return b.tokens >= 1 }

// Withdraw takes the token for one retry. It reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
