package budgeter

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWholeMeshFails replays a fault that every node meets at once, after quiet times: for each of two classes every
// call fails and is retried while there are tokens. The retries beyond a share of the calls stay within what the
// deployments allow at their size.
func TestWholeMeshFails(t *testing.T) {
	const share, allowedShare, calls, classes = 0.1, 0.2, 30, 2
	tests := []struct {
		name  string
		nodes int
		slack float64
	}{
		{"hundreds of nodes", 294, 630},
		{"some tens", 69, 178},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			retries := 0
			for range test.nodes * classes {
				b := New(test.nodes)
				for range calls {
					b.Earn(share)
					if b.Spend() {
						retries++
					}
				}
			}
			allowed := allowedShare*float64(test.nodes*classes*calls) + test.slack
			qt.Assert(t, float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %v allowed", retries, allowed))
		})
	}
}

// TestLimits bounds what a node saves up by the size of the mesh, and keeps one retry on each node.
func TestLimits(t *testing.T) {
	tests := []struct {
		nodes int
		limit float64
	}{{0, nodeTokens}, {1, nodeTokens}, {15, nodeTokens}, {75, 2}, {300, 1}, {29_000, 1}}
	for _, test := range tests {
		qt.Assert(t, New(test.nodes).limit, qt.Equals, test.limit, qt.Commentf("%d nodes", test.nodes))
	}
}

// TestResize takes what is above the new limit.
func TestResize(t *testing.T) {
	b := New(1)
	b.Resize(300)
	qt.Assert(t, b.Spend(), qt.IsTrue)
	qt.Assert(t, b.Spend(), qt.IsFalse)
}
