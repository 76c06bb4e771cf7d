package controller

import (
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// reviveInterval is how often a node of a large mesh tries to reach a member that is held dead;
	// in a small mesh it is done with every heartbeat.
	reviveInterval = 10 * time.Second
	// revivals is how many absent members are tried at a time.
	revivals = 3
	// restartTime is how long a member that has left is expected back.
	restartTime = 30 * time.Second
)

// assignDuties takes up or lays down the duties that fall to this node by rendezvous hashing.
// A duty held by two nodes at once, while their tables differ, is harmless.
func (k *Controller) assignDuties(now time.Time) {
	if r := k.table.Revision(); r != k.duties.revision {
		k.duties = k.chooseDuties()
		k.duties.revision = r
	}
	if k.duties.rejoins {
		k.rejoin(now)
	}
	if k.duties.writesCheckpoints {
		k.writeCheckpoint()
	}
}

// decideReading takes up or lays down the reading of the log.
func (k *Controller) decideReading(now time.Time) {
	reads := k.readDuty.decide(readSituation{
		holds: k.duties.reads, rank: k.duties.standbyRank, ready: k.start.ready, links: len(k.links), news: k.news,
		since: k.start.since, lag: k.lag.lag(k.state.Position, k.newestHeard(), now), patience: k.patience,
	}, now)
	if k.reader.setActive(reads) {
		k.common.Logger.Debug("log reader", "active", reads, "news-age", k.news.String())
		k.record("log-reader", map[string]string{"active": strconv.FormatBool(reads)})
	}
}

// dutyState holds the duties that fall to this node at a revision of the membership table.
type dutyState struct {
	revision          uint64
	reads             bool
	standbyRank       int
	rejoins           bool
	writesCheckpoints bool
}

func (k *Controller) chooseDuties() dutyState {
	self := k.table.Self()
	var zone, all []string
	for _, m := range k.table.Usable() {
		all = append(all, m.Node)
		if m.Zone == self.Zone {
			zone = append(zone, m.Node)
		}
	}
	return dutyState{
		reads:             ranker.IsAmongFirst("log-reader/"+self.Zone, self.Node, k.common.Settings.Readers, zone),
		standbyRank:       ranker.Place("log-standby", self.Node, all),
		rejoins:           ranker.IsAmongFirst("rejoiner", self.Node, 1, all),
		writesCheckpoints: k.common.Settings.CheckpointEvery > 0 && ranker.IsAmongFirst("checkpoint-writer", self.Node, 1, all),
	}
}

// revive dials members that are gone: only the way to them may have been lost, and one that was restarted
// while the log is away finds the mesh in no other way.
func (k *Controller) revive(now time.Time) {
	if now.Before(k.nextRevival) {
		return
	}
	if k.table.Len() > smallMesh {
		k.nextRevival = now.Add(reviveInterval)
	}
	absent := k.table.Absent(now, restartTime)
	for _, i := range k.random.Perm(len(absent))[:min(len(absent), revivals)] {
		k.dial(absent[i].ControlAddress, now)
	}
}

// writeCheckpoint appends the whole state once enough records have come since the last one.
func (k *Controller) writeCheckpoint() {
	if !k.start.ready || k.state.Position < k.lastCheckpoint+uint64(k.common.Settings.CheckpointEvery) {
		return
	}
	k.lastCheckpoint = k.state.Position
	id := "checkpoint/" + k.table.Self().Node + "/" + strconv.FormatUint(k.state.Position, 10)
	k.appender.queueRecord(id, &schema.Record{Id: id, Author: k.table.Self().Node, AppendedUnixMs: time.Now().UnixMilli(),
		Body: &schema.Record_Checkpoint{Checkpoint: &schema.Checkpoint{State: k.state.Encode()}}})
	k.record("checkpoint-written", map[string]string{"position": strconv.FormatUint(k.state.Position, 10)})
}
