package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLinkLosses checks when a node takes most of its links for lost.
func TestLinkLosses(t *testing.T) {
	start := time.Unix(1000, 0)
	var l linkLosses
	qt.Assert(t, l.areMost(0, start), qt.IsFalse)
	l.record(start)
	qt.Assert(t, l.areMost(1, start), qt.IsFalse, qt.Commentf("one loss, as with each restart"))
	l.record(start.Add(time.Second))
	qt.Assert(t, l.areMost(2, start.Add(time.Second)), qt.IsTrue)
	qt.Assert(t, l.areMost(3, start.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, l.areMost(2, start.Add(lossWindow+1)), qt.IsFalse)
}
