package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

func announced(instance string, started int64, sequence uint64) Announcement {
	return Announcement{Service: "s", Version: "v1", Address: "127.0.0.1:1", Slots: 1, Instance: instance, StartedUnixMs: started, Sequence: sequence}
}

// TestLateAnnouncements brings announcements out of order.
func TestLateAnnouncements(t *testing.T) {
	l := &lease{announcement: announced("b", 2000, 5)}
	tests := []struct {
		name  string
		a     Announcement
		older bool
	}{
		{"the next", announced("b", 2000, 6), false},
		{"the same again", announced("b", 2000, 5), true},
		{"an earlier one", announced("b", 2000, 4), true},
		{"of the incarnation before", announced("a", 1000, 90), true},
		{"of the next incarnation", announced("c", 3000, 1), false},
		{"of the next incarnation under the same identity", announced("b", 3000, 1), false},
		{"without an order", announced("b", 2000, 0), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, l.outdates(test.a), qt.Equals, test.older) })
	}
}

// TestLeaveHoldsAfterARestart lets the node restart after it has acknowledged a leave: a delayed announcement
// of that incarnation brings no work back to it, one of the next incarnation does.
func TestLeaveHoldsAfterARestart(t *testing.T) {
	l := &lease{}
	l.recall(&schema.Member{Instance: "a", InstanceUnixMs: 1000, UpstreamLeft: true})
	l.announcement = announced("a", 1000, 7)
	qt.Assert(t, l.draining(), qt.IsTrue)
	qt.Assert(t, l.local(false, 4).Draining, qt.IsTrue)
	l.announcement = announced("a", 2000, 1)
	qt.Assert(t, l.draining(), qt.IsFalse)
}

// TestLeaveWithoutAStart takes the start from the announcement, or else covers all incarnations until now.
func TestLeaveWithoutAStart(t *testing.T) {
	l := &lease{announcement: announced("a", 1000, 7)}
	l.leave("a", l.startOf("a"))
	qt.Assert(t, l.draining(), qt.IsTrue)
	unknown := &lease{}
	unknown.leave("a", unknown.startOf("a"))
	unknown.announcement = announced("a", 1000, 1)
	qt.Assert(t, unknown.draining(), qt.IsTrue)
}

// TestProgressMerges joins values in both orders: the result is the same.
func TestProgressMerges(t *testing.T) {
	a := &schema.Progress{Rollout: "s", Step: 2, Epoch: 5, HeardUnixMs: 100, RolledBack: true, Reason: "slow"}
	b := &schema.Progress{Rollout: "s", Step: 1, Epoch: 9, HeardUnixMs: 50, Completed: true, Reported: true}
	for _, merged := range []*schema.Progress{mergedProgress(a, b), mergedProgress(b, a)} {
		qt.Assert(t, merged.Step, qt.Equals, uint32(2))
		qt.Assert(t, merged.Epoch, qt.Equals, uint64(9))
		qt.Assert(t, merged.HeardUnixMs, qt.Equals, int64(50))
		qt.Assert(t, merged.Completed, qt.IsTrue)
		qt.Assert(t, merged.RolledBack, qt.IsFalse)
		qt.Assert(t, merged.Reported, qt.IsTrue)
	}
}

// TestEpochsDiffer lets two nodes take over at once.
func TestEpochsDiffer(t *testing.T) {
	a, b := nextEpoch(0, "node-a"), nextEpoch(0, "node-b")
	qt.Assert(t, a, qt.Not(qt.Equals), b)
	qt.Assert(t, nextEpoch(max(a, b), "node-a") > max(a, b), qt.IsTrue)
}
