package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReportRateIsBounded checks that the rate of reports that a controller receives does not grow with the mesh.
func TestReportRateIsBounded(t *testing.T) {
	const interval, maxPerSecond = 200 * time.Millisecond, 500
	for _, nodes := range []int{10, 99, 294, 1000, 29_000} {
		perSecond := float64(nodes) / scaledInterval(interval, nodes).Seconds()
		qt.Assert(t, perSecond <= maxPerSecond, qt.IsTrue, qt.Commentf("%d nodes: %v reports per second", nodes, perSecond))
	}
	qt.Assert(t, scaledInterval(interval, 99), qt.Equals, interval)
}
