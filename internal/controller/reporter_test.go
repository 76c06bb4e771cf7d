package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReportsDoNotGrowWithTheMesh bounds what a controller takes in from all nodes.
func TestReportsDoNotGrowWithTheMesh(t *testing.T) {
	const interval, most = 200 * time.Millisecond, 500
	for _, nodes := range []int{10, 99, 294, 1000, 29_000} {
		perSecond := float64(nodes) / reportPause(interval, nodes).Seconds()
		qt.Assert(t, perSecond <= most, qt.IsTrue, qt.Commentf("%d nodes: %v reports a second", nodes, perSecond))
	}
	qt.Assert(t, reportPause(interval, 99), qt.Equals, interval)
}
