package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMemberComparison checks that a new link compares members after half a heartbeat, and one that has compared them after two.
func TestMemberComparison(t *testing.T) {
	start := time.Unix(1000, 0)
	c := memberComparison{heartbeat: time.Second}
	steps := []struct {
		at          time.Duration
		differ, due bool
	}{
		{0, true, false}, {499 * time.Millisecond, true, false}, {500 * time.Millisecond, true, true},
		{600 * time.Millisecond, true, false}, {2599 * time.Millisecond, true, false}, {2600 * time.Millisecond, true, true},
		{3 * time.Second, true, false}, {4 * time.Second, false, false}, {5 * time.Second, true, false}, {7 * time.Second, true, true},
	}
	for i, s := range steps {
		qt.Assert(t, c.isDue(s.differ, start.Add(s.at)), qt.Equals, s.due, qt.Commentf("step %d", i))
	}
	agreed := memberComparison{heartbeat: time.Second}
	qt.Assert(t, agreed.isDue(false, start), qt.IsFalse)
	qt.Assert(t, agreed.isDue(true, start.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, agreed.isDue(true, start.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, agreed.isDue(true, start.Add(3*time.Second)), qt.IsTrue)
}
