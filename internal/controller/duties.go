package controller

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// rejoiners is how many nodes of a zone look for nodes that the mesh does not know.
	rejoiners = 1
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
func (k *Controller) assignDuties() {
	if r := k.table.Revision(); r != k.duties.revision {
		k.duties = k.chooseDuties()
		k.duties.revision = r
	}
	// A node without links hears of changes in no other way.
	reads := k.duties.reads || len(k.links) == 0
	if k.reader.active.Swap(reads) != reads {
		k.record("log-reader", map[string]string{"active": strconv.FormatBool(reads)})
	}
	if k.duties.rejoins {
		k.rejoin(time.Now())
	}
	if k.duties.writesCheckpoints {
		k.writeCheckpoint()
	}
}

// dutyState holds the duties that fall to this node at a revision of the membership table.
type dutyState struct {
	revision          uint64
	reads             bool
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
		rejoins:           ranker.IsAmongFirst("rejoiner/"+self.Zone, self.Node, rejoiners, zone),
		writesCheckpoints: k.common.Settings.CheckpointEvery > 0 && ranker.IsAmongFirst("checkpoint-writer", self.Node, 1, all),
	}
}

// rejoin announces this node again and looks in the log for nodes that this one does not know, so that
// parts of the mesh that were separated, or never met, find each other.
func (k *Controller) rejoin(now time.Time) {
	if now.Before(k.start.nextRejoin) || !k.start.ready {
		return
	}
	k.start.nextRejoin = now.Add(k.common.Settings.RejoinInterval)
	k.announceSelf()
	go (&rejoiner{controller: k}).run()
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

// rejoiner looks once for nodes that this one does not know.
type rejoiner struct {
	controller *Controller
}

// run reads what the log tells a starting node.
func (r *rejoiner) run() {
	k := r.controller
	b, err := k.config.Log.Begin(context.Background())
	if err != nil {
		k.common.Logger.Debug("log not reached", "reason", err)
		return
	}
	k.do(func() {
		known := map[string]bool{}
		for _, m := range k.table.Usable() {
			known[m.ControlAddress] = true
		}
		unknown := slices.DeleteFunc(b.Members, func(m *schema.Member) bool { return known[m.ControlAddress] })
		k.dialSome(unknown, time.Now())
	})
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
