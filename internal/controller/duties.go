package controller

import (
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// redialInterval is how often a node of a large mesh dials absent members. In a small mesh it does so with every
	// heartbeat.
	redialInterval = 10 * time.Second
	// redialBatch is the number of absent members that are dialled at a time.
	redialBatch = 3
	// restartWindow is how long a member that has left is still dialled, since it may be restarting.
	restartWindow = 30 * time.Second
)

// performDuties assigns this node's duties by rendezvous hashing whenever the membership table has changed, and
// performs those that are due. Two nodes may hold a duty at the same time while their tables differ, which is harmless.
func (k *Controller) performDuties(now time.Time) {
	if r := k.table.Revision(); r != k.duties.revision {
		k.duties = k.assignedDuties()
		k.duties.revision = r
	}
	k.rejoin(now)
	if k.duties.writesCheckpoints {
		k.writeCheckpoint()
	}
}

// updateLogReader starts or stops reading the log, as readerRole decides.
func (k *Controller) updateLogReader(now time.Time) {
	reads := k.readerRole.shouldRead(readerInputs{
		designated: k.duties.designatedReader, standbyRank: k.duties.standbyRank, ready: k.start.ready,
		links: len(k.links), lostMost: k.linkLosses.areMost(len(k.links), now), freshness: k.freshness, startedAt: k.start.startedAt,
		lag: k.lagTracker.lag(k.state.Position, k.newestNeighbourPosition(), now), lagTolerance: k.lagTolerance,
	}, now)
	if k.reader.setActive(reads) {
		k.common.Logger.Debug("log reader", "active", reads, "news-age", k.freshness.String())
		k.recordEvent("log-reader", map[string]string{"active": strconv.FormatBool(reads)})
	}
}

// dutyState holds the duties of this node at a revision of the membership table.
type dutyState struct {
	revision uint64
	// designatedReader is set if the node is one of the designated log readers of its zone.
	designatedReader bool
	// standbyRank is the node's rank, from 0, in the order in which standbys take over if the readers fail.
	standbyRank int
	// rejoins is set if the node searches the log for unknown members.
	rejoins           bool
	writesCheckpoints bool
}

// assignedDuties assigns the reading of the log among the members that are alive, so that readers that were killed are replaced once they are
// suspected, and the other duties among those that are suspect as well.
func (k *Controller) assignedDuties() dutyState {
	self := k.table.Self()
	var zone, alive, all []string
	for _, m := range k.table.Usable() {
		all = append(all, m.Node)
		if m.Status != schema.MemberStatus_MEMBER_STATUS_ALIVE {
			continue
		}
		alive = append(alive, m.Node)
		if m.Zone == self.Zone {
			zone = append(zone, m.Node)
		}
	}
	return dutyState{
		designatedReader: ranker.InTop("log-reader/"+self.Zone, self.Node, k.common.Settings.Readers, zone),
		standbyRank:      ranker.RankOf("log-standby", self.Node, alive),
		rejoins:          ranker.InTop("rejoiner", self.Node, 1, all),
		writesCheckpoints: k.common.Settings.CheckpointEvery > 0 &&
			ranker.InTop("checkpoint-writer", self.Node, 1, all),
	}
}

// redialAbsent dials members that are dead or have left. They may only have been unreachable, and a member that
// restarts while the log is unavailable can't find the mesh in any other way.
func (k *Controller) redialAbsent(now time.Time) {
	if now.Before(k.nextRedial) {
		return
	}
	if k.table.Len() > smallMeshMembers {
		k.nextRedial = now.Add(redialInterval)
	}
	absent := k.table.Absent(now, restartWindow)
	for _, i := range k.random.Perm(len(absent))[:min(len(absent), redialBatch)] {
		k.dial(absent[i].ControlAddress, now)
	}
}

// writeCheckpoint appends a checkpoint of the whole state once CheckpointEvery records follow the last one.
func (k *Controller) writeCheckpoint() {
	if !k.start.ready || k.state.Position < k.lastCheckpoint+reducer.Position(k.common.Settings.CheckpointEvery) {
		return
	}
	k.lastCheckpoint = k.state.Position
	id := "checkpoint/" + k.table.Self().Node + "/" + strconv.FormatUint(uint64(k.state.Position), 10)
	k.appender.enqueueRecord(id, &schema.Record{
		Id: id, Author: k.table.Self().Node, AppendedUnixMs: time.Now().UnixMilli(),
		Body: &schema.Record_Checkpoint{Checkpoint: &schema.Checkpoint{State: k.state.Encode()}}})
	k.recordEvent("checkpoint-written", map[string]string{"position": strconv.FormatUint(uint64(k.state.Position), 10)})
}
