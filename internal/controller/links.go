package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// maxLinks is the number of links, both directions counted, from which a node refuses incoming ones. A refused
	// node selects other neighbours.
	maxLinks = 8
	// refusalBackoff is how long a node that refused a link is not selected as a neighbour.
	refusalBackoff = time.Minute
	// minRedialInterval is the minimum time between two dials of the same address.
	minRedialInterval = time.Second
)

// linkState is what the control goroutine tracks for each link.
type linkState struct {
	node         string
	lastReceived time.Time
	// coverage is the newest that the neighbour has reported. It is zero after the neighbour declined a pull as busy, until
	// its next heartbeat.
	coverage   reducer.Coverage
	comparison memberComparison
	// suspected is set once the neighbour has been marked suspect for its silence; the next frame clears it.
	suspected bool
	// closing is set once the neighbour has announced that it will close the link.
	closing bool
	// takesEras is set if the neighbour takes positions of any era.
	takesEras bool
}

func (k *Controller) handleEvent(e gossiper.Event) {
	now := time.Now()
	switch e.Kind {
	case gossiper.LinkOpened:
		k.handleLinkOpened(e.Link, now)
	case gossiper.LinkClosed:
		k.handleLinkClosed(e.Link, now)
	case gossiper.DialFailed:
		k.handleDialFailed(e.Address, now)
	case gossiper.FrameReceived:
		if s, ok := k.links[e.Link]; ok {
			s.lastReceived = now
			s.suspected = false
			k.handleFrame(e.Link, s, e.Frame, now)
		}
	case gossiper.ReportReceived:
		k.observeReport(e.Report, now)
	}
}

func (k *Controller) handleLinkOpened(l *gossiper.Link, now time.Time) {
	node := l.Hello.Member.Node
	if node == k.table.Self().Node || !l.Outgoing && len(k.links) >= maxLinks || !l.Hello.TakesEras && k.state.Position.Era() > 0 {
		k.mergeMembers(nil, []*schema.Member{l.Hello.Member}, now)
		k.refuseLink(l)
		return
	}
	s := &linkState{node: node, lastReceived: now, coverage: coverageOf(l.Hello), takesEras: l.Hello.TakesEras,
		comparison: memberComparison{heartbeat: k.common.Settings.Heartbeat}}
	k.links[l] = s
	k.start.observePeer(node, s.coverage.Position, false)
	// The first frame brings the neighbour this node's member, all rollout progress and all crash marks.
	f := k.frame()
	f.Members = []*schema.Member{k.table.Self()}
	if known := k.table.Get(node); known != nil && (!isUsable(known) || known.UpstreamLeft) {
		// The neighbour refutes being dead or having left, or learns that its upstream left under an earlier process.
		f.Members = append(f.Members, known)
	}
	for _, p := range k.progress {
		f.Progress = append(f.Progress, p)
	}
	f.CrashMarks = k.crashMarks()
	f.Heartbeat = k.heartbeat(now)
	l.Send(f)
	k.mergeMembers(l, []*schema.Member{l.Hello.Member}, now)
	k.pullIfBehind(now)
}

// refuseLink closes the link and names other nodes to dial.
func (k *Controller) refuseLink(l *gossiper.Link) {
	k.closeGracefully(l, k.randomAddresses())
}

// closeGracefully announces the end of a link before closing it, so that the neighbour does not take it for a failure.
// The addresses, if any, are of other nodes to dial.
func (k *Controller) closeGracefully(l *gossiper.Link, addresses []string) {
	const flushTime = 200 * time.Millisecond
	delete(k.links, l)
	f := k.frame()
	f.Parting = &schema.Parting{ControlAddresses: addresses}
	l.Send(f)
	time.AfterFunc(flushTime, l.Close)
}

// randomAddresses returns the control addresses of randomly drawn members; one may be drawn twice.
func (k *Controller) randomAddresses() []string {
	const addressCount = 8
	members := k.table.Usable()
	var addresses []string
	for range addressCount {
		addresses = append(addresses, members[k.random.IntN(len(members))].ControlAddress)
	}
	return addresses
}

func (k *Controller) handleLinkClosed(l *gossiper.Link, now time.Time) {
	s, ok := k.links[l]
	if !ok {
		return
	}
	delete(k.links, l)
	k.clearPull(l)
	if s.closing {
		return
	}
	k.linkLosses.record(now)
	if !k.isLinked(s.node) {
		// A closed link does not prove that the node is down: dial again, and suspect the node if that fails.
		if m := k.table.Get(s.node); m != nil && isUsable(m) {
			k.dial(m.ControlAddress, now)
		}
	}
}

func (k *Controller) handleDialFailed(address string, now time.Time) {
	for _, m := range k.table.Usable() {
		if m.ControlAddress == address {
			k.suspect(m.Node, now)
		}
	}
}

// suspect marks an alive member as suspect and tells the neighbours.
func (k *Controller) suspect(node string, now time.Time) {
	if m := k.table.Suspect(node, now); m != nil {
		k.recordEvent("member-suspected", map[string]string{"member": node})
		k.broadcastMembers(nil, m)
	}
}

// isUsable reports whether a member is alive or only suspect.
func isUsable(m *schema.Member) bool {
	return m.Status == schema.MemberStatus_MEMBER_STATUS_ALIVE || m.Status == schema.MemberStatus_MEMBER_STATUS_SUSPECT
}

func (k *Controller) isLinked(node string) bool {
	for _, s := range k.links {
		if s.node == node {
			return true
		}
	}
	return false
}

// covered is a message that states the coverage of its sender's state.
type covered interface {
	GetPosition() uint64
	GetInherited() []uint64
	GetRevision() uint64
}

func coverageOf(m covered) reducer.Coverage {
	return reducer.Coverage{Position: reducer.Position(m.GetPosition()), Inherited: reducer.DecodeInherited(m.GetInherited()),
		Revision: m.GetRevision()}
}

// checkLinks suspects neighbours that have been silent for the suspect-after time, and closes their links.
func (k *Controller) checkLinks(now time.Time) {
	for l, s := range k.links {
		silence := now.Sub(s.lastReceived)
		if silence < k.common.Settings.SuspectAfter {
			continue
		}
		if !s.suspected {
			s.suspected = true
			k.suspect(s.node, now)
		}
		l.Close()
	}
}

func (k *Controller) heartbeat(now time.Time) *schema.Heartbeat {
	return &schema.Heartbeat{Position: uint64(k.state.Position), Inherited: k.state.Inherited.Encode(), Revision: k.state.Revision,
		StateDigest: k.digest, MemberDigest: k.table.Digest(), LogAgeMs: k.freshness.encode(now)}
}

// sendHeartbeats sends a heartbeat on every link and restarts the heartbeat interval.
func (k *Controller) sendHeartbeats(now time.Time) {
	k.heartbeatDue = false
	k.nextHeartbeat = now.Add(k.common.Settings.Heartbeat)
	f := k.frame()
	f.Heartbeat = k.heartbeat(now)
	k.broadcast(f, nil)
}

func (k *Controller) handleFrame(l *gossiper.Link, s *linkState, f *schema.Frame, now time.Time) {
	if len(f.Members) > 0 {
		k.mergeMembers(l, f.Members, now)
	}
	if len(f.Records) > 0 {
		k.receiveRecords(l, f.Records, now)
	}
	if f.Pull != nil {
		k.answerPull(l, f.Pull)
	}
	if f.Snapshot != nil {
		k.clearPull(l)
		k.installStateSnapshot(f.Snapshot, now)
	}
	if f.Delta != nil {
		k.clearPull(l)
		k.installDelta(l, f.Delta, now)
	}
	if f.Heartbeat != nil {
		k.handleHeartbeat(l, s, f.Heartbeat, now)
	}
	if f.BucketDigests != nil {
		k.answerDigests(l, f.BucketDigests)
	}
	for _, p := range f.Progress {
		k.mergeProgress(p, l)
	}
	if len(f.CrashMarks) > 0 {
		k.mergeCrashes(f.CrashMarks, l, now)
	}
	if f.Busy != nil {
		s.coverage = reducer.Coverage{}
		k.clearPull(l)
		k.dialAlternative(f.Busy.ControlAddresses, now)
	}
	if f.Parting != nil {
		s.closing = true
		if len(f.Parting.ControlAddresses) > 0 {
			k.refusedUntil[s.node] = now.Add(refusalBackoff)
			k.neighbourSelection.selectedAt = time.Time{}
		}
		delete(k.links, l)
		k.dialAlternative(f.Parting.ControlAddresses, now)
	}
}

func (k *Controller) handleHeartbeat(l *gossiper.Link, s *linkState, h *schema.Heartbeat, now time.Time) {
	reported := coverageOf(h)
	if reported.Position >= s.coverage.Position {
		s.coverage = reported
	}
	k.start.observePeer(s.node, reported.Position, h.LogAgeMs > 0)
	if h.LogAgeMs > 0 && reported.Position <= k.state.Position {
		k.observeLogRead(decodeReadTime(h.LogAgeMs, now))
	}
	k.pullIfBehind(now)
	if reported == k.state.Coverage() && h.StateDigest != k.digest {
		k.recordEvent("state-digest-mismatch", map[string]string{"neighbour": s.node})
	}
	// A node that knows hardly any member compares at once.
	differ := h.MemberDigest != k.table.Digest()
	if s.comparison.isDue(differ, now) || differ && k.table.Len() < 3 {
		f := k.frame()
		f.BucketDigests = &schema.BucketDigests{Digests: k.table.BucketDigests()}
		l.Send(f)
	}
}

// answerDigests sends the members of all buckets in which the neighbour's table differs. What this node lacks comes
// the other way, when this node sends its own digests in answer to the neighbour's heartbeat.
func (k *Controller) answerDigests(l *gossiper.Link, d *schema.BucketDigests) {
	const membersPerFrame = 512
	members := k.table.Differing(d.Digests)
	for len(members) > 0 {
		n := min(len(members), membersPerFrame)
		f := k.frame()
		f.Members = members[:n]
		l.Send(f)
		members = members[n:]
	}
}

// mergeMembers merges member updates into the table and forwards those that changed it to all links but their source.
func (k *Controller) mergeMembers(from *gossiper.Link, members []*schema.Member, now time.Time) {
	var changed []*schema.Member
	for _, m := range members {
		k.restoreUpstreamLeave(m)
		before := k.table.Get(m.GetNode())
		merged := k.table.Merge(m, now)
		if merged == nil {
			continue
		}
		k.snapshotCache.updateMember(before)
		k.snapshotCache.updateMember(merged)
		if before == nil || before.Status != merged.Status {
			k.recordEvent("member-"+statusName(merged.Status), map[string]string{"member": merged.Node})
		}
		if merged.Node == k.table.Self().Node {
			k.publishHello()
			k.broadcastMembers(nil, merged)
			continue
		}
		changed = append(changed, merged)
	}
	k.broadcastMembers(from, changed...)
}

// restoreUpstreamLeave restores from a neighbour's table that the upstream left under an earlier process of this node:
// the log, which keeps it as well, may be unreachable.
func (k *Controller) restoreUpstreamLeave(m *schema.Member) {
	self := k.table.Self()
	if m.GetNode() == self.Node && m.Incarnation < self.Incarnation {
		k.restoreLeave(m)
	}
}

func statusName(s schema.MemberStatus) string {
	switch s {
	case schema.MemberStatus_MEMBER_STATUS_ALIVE:
		return "alive"
	case schema.MemberStatus_MEMBER_STATUS_SUSPECT:
		return "suspect"
	case schema.MemberStatus_MEMBER_STATUS_DEAD:
		return "dead"
	}
	return "left"
}

// broadcastMembers sends member updates on every link but one and adds them to the snapshot cache.
func (k *Controller) broadcastMembers(except *gossiper.Link, members ...*schema.Member) {
	if len(members) == 0 {
		return
	}
	for _, m := range members {
		k.snapshotCache.updateMember(m)
	}
	f := k.frame()
	f.Members = members
	k.broadcast(f, except)
}
