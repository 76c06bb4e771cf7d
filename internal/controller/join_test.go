package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// TestRefusalsLeadToFewDials refuses links in quick succession: only the first refusal leads to a dial, since nodes that
// refuse each other would otherwise never stop.
func TestRefusalsLeadToFewDials(t *testing.T) {
	t.Parallel()
	n := startMeshNode(t, &fakeStore{seeds: map[string]*schema.Member{}}, "n", "a")
	others := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	now := time.Now()
	dialled := 0
	n.do(func() {
		for _, address := range others {
			n.dialAlternative([]string{address}, now)
		}
		for _, address := range others {
			if !n.dialing[address].IsZero() {
				dialled++
			}
		}
	})
	qt.Assert(t, dialled, qt.Equals, 1)
}

// TestLeaveHoldsWithoutTheLog restarts a node whose upstream has left while the log is away: its neighbours tell what the
// earlier process has promised.
func TestLeaveHoldsWithoutTheLog(t *testing.T) {
	t.Parallel()
	n := startMeshNode(t, &fakeStore{seeds: map[string]*schema.Member{}}, "n", "a")
	n.log.cut.Store(true)
	a := announced("i", 1000, 7)
	var before, after bool
	n.do(func() {
		n.renewLease(a, time.Now())
		before = n.lease.draining()
		n.mergeMembers(nil, []*schema.Member{{Node: "n", Incarnation: 1, Instance: "i", InstanceUnixMs: 1000, UpstreamLeft: true}}, time.Now())
		after = n.lease.draining()
	})
	qt.Assert(t, before, qt.IsFalse)
	qt.Assert(t, after, qt.IsTrue)
}

// TestPeersThatHaveJustStartedAreNoEvidence asks three peers that know of no read of the log: the node stays unready.
func TestPeersThatHaveJustStartedAreNoEvidence(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(2 * logGrace)
	s := newStartState(start)
	for _, peer := range []string{"a", "b", "c"} {
		s.hear(peer, 0, false)
	}
	qt.Assert(t, s.reason(0, 4, freshness{}, later), qt.Not(qt.Equals), "")
	for _, peer := range []string{"a", "b", "c"} {
		s.hear(peer, 5, true)
	}
	qt.Assert(t, s.reason(0, 4, freshness{}, later), qt.Not(qt.Equals), "")
	qt.Assert(t, s.reason(5, 4, freshness{}, later), qt.Equals, "")
	qt.Assert(t, s.reason(5, 4, freshness{}, start), qt.Not(qt.Equals), "")
	qt.Assert(t, s.reason(5, 4, freshness{readAt: start}, start), qt.Equals, "")
}

// TestGoneMemberIsDroppedOnce lets the log name two members that are gone, one by a seed and one by the record that it
// kept of itself: only the seed is dropped, since the other record would be named again each time.
func TestGoneMemberIsDroppedOnce(t *testing.T) {
	t.Parallel()
	store := &fakeStore{seeds: map[string]*schema.Member{}}
	n := startMeshNode(t, store, "n", "a")
	var queued int
	n.do(func() {
		var d Discovery
		now := time.Now()
		for _, name := range []string{"seed", "self"} {
			m := &schema.Member{Node: name, Incarnation: 1, ControlAddress: "127.0.0.1:" + name}
			n.table.Merge(m, now)
			left := proto.CloneOf(m)
			left.Status = schema.MemberStatus_MEMBER_STATUS_LEFT
			n.table.Merge(left, now)
			d.Members = append(d.Members, m)
		}
		d.Members = append(d.Members, n.table.Self())
		d.Seeds = []string{"seed"}
		n.appender.cancel()
		<-n.appender.done
		for len(n.appender.jobs) > 0 {
			<-n.appender.jobs
		}
		n.maintainSeeds(d, n.table.Usable())
		queued = len(n.appender.jobs)
	})
	qt.Assert(t, queued, qt.Equals, 1)
}
