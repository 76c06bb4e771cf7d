package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// TestRefusalDialsAreRateLimited checks that of several refusals in quick succession only the first leads to a dial.
// Nodes that refuse each other would otherwise dial without end.
func TestRefusalDialsAreRateLimited(t *testing.T) {
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
			if !n.lastDials[address].IsZero() {
				dialled++
			}
		}
	})
	qt.Assert(t, dialled, qt.Equals, 1)
}

// TestUpstreamLeaveRestoredFromNeighbours restarts a node after its upstream has left, while the log is unreachable.
// The new process must keep the upstream draining, as it learns from its neighbours' tables.
func TestUpstreamLeaveRestoredFromNeighbours(t *testing.T) {
	t.Parallel()
	n := startMeshNode(t, &fakeStore{seeds: map[string]*schema.Member{}}, "n", "a")
	n.log.unreachable.Store(true)
	a := testAnnouncement("i", 1000, 7)
	var before, after bool
	n.do(func() {
		n.renewLease(a, time.Now())
		before = n.lease.draining()
		n.mergeMembers(nil, []*schema.Member{{
			Node: "n", Incarnation: 1, Instance: "i", InstanceUnixMs: 1000, UpstreamLeft: true}}, time.Now())
		after = n.lease.draining()
	})
	qt.Assert(t, before, qt.IsFalse)
	qt.Assert(t, after, qt.IsTrue)
}

// TestSavedLeaveIsReadAfterStart guards against a leave in the log that a node never reads, since its neighbours made it ready before it had
// read its own member record (rule DRAIN).
func TestSavedLeaveIsReadAfterStart(t *testing.T) {
	t.Parallel()
	store := &fakeStore{seeds: map[string]*schema.Member{}}
	n := startMeshNode(t, store, "n", "a")
	await(t, 10*time.Second, "the node is ready", func() bool { return n.Status().Ready })
	store.saveMember(&schema.Member{Node: "n", Incarnation: 1, Instance: "i", InstanceUnixMs: 1000, UpstreamLeft: true})
	await(t, 10*time.Second, "the node's seed, without a leave, is saved", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.seeds["n"] != nil
	})
	(&rejoiner{controller: n.Controller}).run()
	var left bool
	n.do(func() { left = n.lease.hasLeft("i", 1000) })
	qt.Assert(t, left, qt.IsTrue)
}

// TestPeersWithoutLogReadDoNotMakeNodeReady checks that peers count towards readiness only if they know of a read of
// the log: peers that have just started themselves may all lack the newest configuration.
func TestPeersWithoutLogReadDoNotMakeNodeReady(t *testing.T) {
	start := time.Unix(1000, 0)
	later := start.Add(2 * logWaitTimeout)
	s := newStartState(start)
	for _, peer := range []string{"a", "b", "c"} {
		s.observePeer(peer, 0, false)
	}
	qt.Assert(t, s.notReadyReason(0, 4, logFreshness{}, later), qt.Not(qt.Equals), "")
	for _, peer := range []string{"a", "b", "c"} {
		s.observePeer(peer, 5, true)
	}
	qt.Assert(t, s.notReadyReason(0, 4, logFreshness{}, later), qt.Not(qt.Equals), "")
	qt.Assert(t, s.notReadyReason(5, 4, logFreshness{}, later), qt.Equals, "")
	qt.Assert(t, s.notReadyReason(5, 4, logFreshness{}, start), qt.Not(qt.Equals), "")
	qt.Assert(t, s.notReadyReason(5, 4, logFreshness{readAt: start}, start), qt.Equals, "")
}

// TestOnlySeedsOfLeftMembersAreDeleted has the log name two members that have left, one by a seed and one by the record
// that it saved of itself. Only the seed is deleted: the other record stays in the log, so that each rejoin would queue
// another deletion without effect.
func TestOnlySeedsOfLeftMembersAreDeleted(t *testing.T) {
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
			if name == "seed" {
				d.Seeds = append(d.Seeds, m)
			} else {
				d.Saved = append(d.Saved, m)
			}
		}
		d.Seeds = append(d.Seeds, n.table.Self())
		n.links[&gossiper.Link{}] = &linkState{}
		n.appender.cancel()
		<-n.appender.done
		for len(n.appender.jobs) > 0 {
			<-n.appender.jobs
		}
		n.maintainSeeds(d.Seeds, n.table.Usable())
		queued = len(n.appender.jobs)
		clear(n.links)
	})
	qt.Assert(t, queued, qt.Equals, 1)
}

// TestPartialReadOfLogIsNotFresh has a reader lag by three records, which it then reads one by one. It must count as having
// read the log only with the last of them: neighbours that start take its position for the newest if it has.
func TestPartialReadOfLogIsNotFresh(t *testing.T) {
	t.Parallel()
	const records = 3
	m := &testMesh{store: &fakeStore{seeds: map[string]*schema.Member{}}}
	n := startMeshNode(t, m.store, "n", "a")
	m.nodes = append(m.nodes, n)
	await(t, 10*time.Second, "the node reads the log", func() bool { return n.Status().Ready && isReading(n) })
	allowed := make(chan struct{})
	n.log.singleRecords.Store(&allowed)
	for i := range records {
		m.publish(uint32(i + 1))
	}
	var lagsSince time.Time
	n.do(func() { lagsSince = time.Now() })
	for position := reducer.Position(1); position <= records; position++ {
		n.log.allowRecord(t)
		m.awaitPosition(t, m.nodes, position)
		var readAt time.Time
		n.do(func() { readAt = n.freshness.readAt })
		qt.Assert(t, readAt.After(lagsSince), qt.Equals, position == records, qt.Commentf("position %d", position))
	}
}

// TestLeaveIsSavedAgainAfterReturn begins an era of the log while the write of a leave runs: the copy that the log has returned from may lack
// what that write appended, so its success saves nothing.
func TestLeaveIsSavedAgainAfterReturn(t *testing.T) {
	t.Parallel()
	n := startMeshNode(t, &fakeStore{seeds: map[string]*schema.Member{}}, "n", "a")
	var savedByFirst, savedBySecond bool
	n.do(func() {
		n.appender.cancel()
		<-n.appender.done
		n.withdraw("i", 1000)
		left := n.lease.lastLeave()
		n.saveLeave()
		n.handleLeaveWritten(left, nil)
		savedByFirst = n.leaveRecord.saved == nil
		if !savedByFirst {
			n.writeLeave()
			n.handleLeaveWritten(left, nil)
			savedBySecond = n.leaveRecord.saved == nil
		}
	})
	qt.Assert(t, savedByFirst, qt.IsFalse)
	qt.Assert(t, savedBySecond, qt.IsTrue)
}
