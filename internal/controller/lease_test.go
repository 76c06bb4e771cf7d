package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

func testAnnouncement(instance string, started int64, sequence uint64) Announcement {
	return Announcement{Service: "s", Version: "v1", Address: "127.0.0.1:1", Slots: 1, Instance: instance,
		StartedUnixMs: started, Sequence: sequence}
}

// TestStaleAnnouncements checks which announcements are ignored because a newer one is known.
func TestStaleAnnouncements(t *testing.T) {
	l := &lease{announcement: testAnnouncement("b", 2000, 5)}
	tests := []struct {
		name  string
		a     Announcement
		stale bool
	}{
		{"next sequence", testAnnouncement("b", 2000, 6), false},
		{"duplicate", testAnnouncement("b", 2000, 5), true},
		{"earlier sequence", testAnnouncement("b", 2000, 4), true},
		{"previous incarnation", testAnnouncement("a", 1000, 90), true},
		{"next incarnation", testAnnouncement("c", 3000, 1), false},
		{"next incarnation with the same identity", testAnnouncement("b", 3000, 1), false},
		{"no sequence", testAnnouncement("b", 2000, 0), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, l.isStale(test.a), qt.Equals, test.stale) })
	}
}

// TestLeaveSurvivesRestart restores a leave that an earlier process of the node has acknowledged. A delayed
// announcement of that incarnation must not give it work again; one of the next incarnation does.
func TestLeaveSurvivesRestart(t *testing.T) {
	l := &lease{}
	l.restoreLeave(&schema.Member{Instance: "a", InstanceUnixMs: 1000, UpstreamLeft: true})
	l.announcement = testAnnouncement("a", 1000, 7)
	qt.Assert(t, l.draining(), qt.IsTrue)
	qt.Assert(t, l.local(false, 4).Draining, qt.IsTrue)
	l.announcement = testAnnouncement("a", 2000, 1)
	qt.Assert(t, l.draining(), qt.IsFalse)
}

// TestLeaveWithoutStartTime marks an incarnation as left whose start is taken from the announcement, or, if none is
// known, covers all incarnations up to now.
func TestLeaveWithoutStartTime(t *testing.T) {
	l := &lease{announcement: testAnnouncement("a", 1000, 7)}
	l.markLeft("a", l.startTime("a"))
	qt.Assert(t, l.draining(), qt.IsTrue)
	unknown := &lease{}
	unknown.markLeft("a", unknown.startTime("a"))
	unknown.announcement = testAnnouncement("a", 1000, 1)
	qt.Assert(t, unknown.draining(), qt.IsTrue)
}

// TestLaterLeaveIsNotForgotten guards against a leave that is forgotten since an earlier incarnation's leave arrives or is restored after
// it: late announcements gave the later incarnation work again (rule DRAIN).
func TestLaterLeaveIsNotForgotten(t *testing.T) {
	tests := []struct {
		name    string
		earlier func(*lease)
	}{
		{"late leave", func(l *lease) { l.markLeft("a", 1000) }},
		{"restored leave", func(l *lease) {
			l.restoreLeave(&schema.Member{Instance: "a", InstanceUnixMs: 1000, UpstreamLeft: true})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &lease{}
			l.markLeft("b", 2000)
			test.earlier(l)
			l.announcement = testAnnouncement("b", 2000, 9)
			qt.Assert(t, l.draining(), qt.IsTrue)
			l.announcement = testAnnouncement("a", 1000, 9)
			qt.Assert(t, l.draining(), qt.IsTrue)
			l.announcement = testAnnouncement("c", 3000, 1)
			qt.Assert(t, l.draining(), qt.IsFalse)
		})
	}
}

// TestOldestLeavesAreForgotten has more incarnations leave than are remembered.
func TestOldestLeavesAreForgotten(t *testing.T) {
	l := &lease{}
	for i := range int64(maxLeaves + 1) {
		l.markLeft("a", i)
	}
	qt.Assert(t, l.leaves, qt.HasLen, maxLeaves)
	qt.Assert(t, l.lastLeave(), qt.Equals, balancer.Incarnation{Instance: "a", StartedUnixMs: maxLeaves})
	l.restoreLeave(&schema.Member{Instance: "b", InstanceUnixMs: 1, UpstreamLeft: true})
	qt.Assert(t, l.leaves, qt.HasLen, maxLeaves)
}

// TestMergedProgressInBothOrders merges two values in both orders, with the same result.
func TestMergedProgressInBothOrders(t *testing.T) {
	a := &schema.Progress{Rollout: "s", Step: 2, Epoch: 5, HeardUnixMs: 100, RolledBack: true, Reason: "slow",
		Reported: true, ReportedEra: 1}
	b := &schema.Progress{Rollout: "s", Step: 1, Epoch: 9, HeardUnixMs: 50, Completed: true, Reported: true,
		ReportedEra: 2}
	for _, merged := range []*schema.Progress{mergedProgress(a, b), mergedProgress(b, a)} {
		qt.Assert(t, merged.Step, qt.Equals, uint32(2))
		qt.Assert(t, merged.Epoch, qt.Equals, uint64(9))
		qt.Assert(t, merged.HeardUnixMs, qt.Equals, int64(50))
		qt.Assert(t, merged.Completed, qt.IsTrue)
		qt.Assert(t, merged.RolledBack, qt.IsFalse)
		qt.Assert(t, merged.Reported, qt.IsTrue)
		qt.Assert(t, merged.ReportedEra, qt.Equals, uint32(2))
	}
}

// TestMergedProgressOfOneEpoch merges the values of two controllers that have chosen the same epoch: whatever the order, one of
// them is kept.
func TestMergedProgressOfOneEpoch(t *testing.T) {
	a, b := &schema.Progress{Epoch: 7, Controller: "a"}, &schema.Progress{Epoch: 7, Controller: "b"}
	qt.Assert(t, mergedProgress(a, b).Controller, qt.Equals, "b")
	qt.Assert(t, mergedProgress(b, a).Controller, qt.Equals, "b")
}

// TestEpochsDiffer checks that two nodes that take over at the same time get different epochs, and the next takeover a
// higher one.
func TestEpochsDiffer(t *testing.T) {
	a, b := nextEpoch(0, "node-a"), nextEpoch(0, "node-b")
	qt.Assert(t, a, qt.Not(qt.Equals), b)
	qt.Assert(t, nextEpoch(max(a, b), "node-a") > max(a, b), qt.IsTrue)
}

// TestEndpointIsTakenForTheUpstreamThatLeft: a member names the incarnation that left, also once the next one takes
// calls. What was known about the earlier one must not be applied to that.
func TestEndpointIsTakenForTheUpstreamThatLeft(t *testing.T) {
	tests := []struct {
		name string
		m    *schema.Member
		want balancer.Incarnation
	}{
		{"announced", &schema.Member{Instance: "a", InstanceUnixMs: 1}, balancer.Incarnation{Instance: "a", StartedUnixMs: 1}},
		{"draining", &schema.Member{Instance: "a", InstanceUnixMs: 1, UpstreamLeft: true, Draining: true},
			balancer.Incarnation{Instance: "a", StartedUnixMs: 1}},
		{"next incarnation", &schema.Member{Instance: "a", InstanceUnixMs: 1, UpstreamLeft: true}, balancer.Incarnation{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, upstreamOf(test.m), qt.Equals, test.want) })
	}
}

// TestUpstreamThatTurnsColdAgainIsTakenForWarm announces cold starts after the first one.
func TestUpstreamThatTurnsColdAgainIsTakenForWarm(t *testing.T) {
	t.Parallel()
	n := startMeshNode(t, &fakeStore{seeds: map[string]*schema.Member{}}, "n", "a")
	start := time.Now()
	tests := []struct {
		name             string
		at, remaining    time.Duration
		wantEnd          time.Duration
		newRun, wantSame bool
	}{
		{"cold at its start", 0, 3 * time.Second, 3 * time.Second, true, false},
		{"announced late", time.Second, 2500 * time.Millisecond, 3 * time.Second, false, true},
		{"warm", 4 * time.Second, 0, 3 * time.Second, false, true},
		{"cold again", 6 * time.Second, 2 * time.Second, 8 * time.Second, false, false},
		{"cold for longer", 7 * time.Second, 4 * time.Second, 11 * time.Second, false, false},
		{"next incarnation, warm", 8 * time.Second, 0, 8 * time.Second, true, false},
	}
	run := start.UnixMilli()
	for i, test := range tests {
		if test.newRun {
			run++
		}
		a := testAnnouncement("a", run, uint64(i+1))
		a.ColdStartMs = test.remaining.Milliseconds()
		var end time.Time
		var changed bool
		n.do(func() {
			before := n.table.Self().WarmUnixMs
			n.renewLease(a, start.Add(test.at))
			end = n.lease.warmAt
			changed = before != n.table.Self().WarmUnixMs
		})
		qt.Assert(t, end.Sub(start), qt.Equals, test.wantEnd, qt.Commentf(test.name))
		qt.Assert(t, changed, qt.Equals, !test.wantSame, qt.Commentf(test.name))
	}
}
