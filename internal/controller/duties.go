package controller

import (
	"context"
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/logclient"
	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// joinRecordInterval is how often a log reader tells other nodes where to join, and looks
	// for parts of the mesh that this one has lost or never met.
	joinRecordInterval = 5 * time.Second
	// reviveInterval is how often a node tries to reach a member that is held dead.
	reviveInterval = 10 * time.Second
)

// assignDuties takes up or lays down the duties that fall to this node by rendezvous hashing.
// A duty held by two nodes at once, while their tables differ, is harmless.
func (k *Controller) assignDuties() {
	if r := k.table.Revision(); r != k.duties.revision {
		k.duties = k.chooseDuties()
		k.duties.revision = r
	}
	if k.reader.active.Swap(k.duties.reads) != k.duties.reads {
		k.record("log-reader", map[string]string{"active": strconv.FormatBool(k.duties.reads)})
	}
	if k.duties.reads {
		k.announceJoin(time.Now())
	}
	if k.duties.writesCheckpoints {
		k.writeCheckpoint()
	}
}

// dutyState holds the duties that fall to this node at a revision of the membership table.
type dutyState struct {
	revision          uint64
	reads             bool
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
		writesCheckpoints: ranker.IsAmongFirst("checkpoint-writer", self.Node, 1, all),
	}
}

func (k *Controller) announceJoin(now time.Time) {
	if now.Before(k.start.nextJoinRecord) || !k.start.ready {
		return
	}
	k.start.nextJoinRecord = now.Add(joinRecordInterval)
	address := k.table.Self().ControlAddress
	k.appender.queue(appendJob{stream: logclient.JoinStream, body: []byte(address), what: "join"})
	go (&rejoiner{controller: k}).run()
}

// revive dials a member that is held dead, in case only the way to it was lost.
func (k *Controller) revive(now time.Time) {
	if now.Before(k.nextRevival) {
		return
	}
	k.nextRevival = now.Add(reviveInterval)
	if dead := k.table.Dead(); len(dead) > 0 {
		k.dial(dead[k.random.IntN(len(dead))].ControlAddress, now)
	}
}

// rejoiner looks in the log for nodes that this one does not know, so that parts of the mesh that
// were separated, or never met, find each other.
type rejoiner struct {
	controller *Controller
}

// run looks once.
func (r *rejoiner) run() {
	k := r.controller
	j := &joiner{controller: k}
	addresses := j.readJoinRecords(context.Background())
	k.do(func() {
		known := map[string]bool{}
		for _, m := range k.table.Usable() {
			known[m.ControlAddress] = true
		}
		for _, a := range addresses {
			if !known[a] {
				k.dial(a, time.Now())
			}
		}
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
