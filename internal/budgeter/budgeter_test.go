package budgeter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRetriesWhileWholeMeshFails lets every call on every node fail while all budgets are full. Calls of two classes
// are retried while there are tokens. The retries beyond the allowed share of the calls stay within the slack that
// deployments of the size allow.
func TestRetriesWhileWholeMeshFails(t *testing.T) {
	const share, allowedShare, calls, classes = 0.1, 0.2, 30, 2
	tests := []struct {
		name  string
		nodes int
		slack float64
	}{
		{"294 nodes", 294, 630},
		{"69 nodes", 69, 178},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			retries := 0
			for range test.nodes * classes {
				b := New(test.nodes)
				for range calls {
					b.Deposit(share)
					if b.Withdraw() {
						retries++
					}
				}
			}
			allowed := allowedShare*float64(test.nodes*classes*calls) + test.slack
			qt.Assert(t, float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %v allowed", retries, allowed))
		})
	}
}

// TestLimits checks that the capacity falls with the size of the mesh, and stays at one token on each node.
func TestLimits(t *testing.T) {
	tests := []struct {
		nodes int
		limit float64
	}{{0, maxNodeTokens}, {1, maxNodeTokens}, {15, maxNodeTokens}, {75, 2}, {300, 1}, {29_000, 1}}
	for _, test := range tests {
		qt.Assert(t, New(test.nodes).limit, qt.Equals, test.limit, qt.Commentf("%d nodes", test.nodes))
	}
}

// TestResize checks that tokens above the new capacity are lost.
func TestResize(t *testing.T) {
	b := New(1)
	b.Resize(300)
	qt.Assert(t, b.Withdraw(), qt.IsTrue)
	qt.Assert(t, b.Withdraw(), qt.IsFalse)
}
