package controller

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// receiveRecords applies records from a neighbour and pulls the missing ones if there is a gap.
func (k *Controller) receiveRecords(l *gossiper.Link, records []*schema.LogRecord, now time.Time) {
	k.clearPull(l)
	if k.applyRecords(records, l) {
		k.pull(l, now)
	}
}

// applyRecords applies records in the order of their positions, skips those already applied, and floods the new ones if that is
// enabled. It stops at a gap in the offsets and reports it.
func (k *Controller) applyRecords(records []*schema.LogRecord, from *gossiper.Link) (gap bool) {
	var applied []*schema.LogRecord
	for _, r := range records {
		if reducer.Position(r.Offset) < k.state.Position {
			continue
		}
		if reducer.Position(r.Offset) > k.state.Position {
			gap = true
			break
		}
		k.applyRecord(r)
		applied = append(applied, r)
	}
	if len(applied) == 0 {
		return gap
	}
	k.announcePosition()
	if k.common.Settings.FloodRecords {
		f := k.frame()
		f.Records = applied
		k.broadcast(f, from)
	}
	return gap
}

// applyRecord applies the next record. A void one moves the position, but not the version, and is logged.
func (k *Controller) applyRecord(r *schema.LogRecord) {
	before := k.state
	next, err := k.config.Reduce(before, r)
	k.common.Checker.Assert(!next.HasOlderConfiguration(before) && next.Position > before.Position, checker.VersionMonotonic,
		"version %v after %v", reducer.Position(next.Version), reducer.Position(before.Version))
	if err != nil {
		k.common.Checker.Assert(next.Version == before.Version, checker.AtomicApply,
			"void record changed version %v", reducer.Position(before.Version))
		k.common.Logger.Warn("record void", "position", reducer.Position(r.Offset), "reason", err)
		k.recordEvent("record-void", map[string]string{"position": reducer.Position(r.Offset).String(), "reason": err.Error()})
	}
	k.setState(next)
	if k.common.Settings.FloodRecords {
		k.history.add(r)
	}
	if isCheckpoint(r) {
		k.lastCheckpoint = reducer.Position(r.Offset)
	}
}

func isCheckpoint(r *schema.LogRecord) bool {
	record := &schema.Record{}
	return proto.Unmarshal(r.Body, record) == nil && record.GetCheckpoint() != nil
}

// setState replaces the state by a later one, and requests a rebuild of the whole routing snapshot if the configuration
// or the rollouts may have changed.
func (k *Controller) setState(next *reducer.State) {
	before := k.state
	k.state = next
	k.changes.Note(before, next)
	k.followOrders(before)
	k.updateEvacuations(time.Now())
	if next.Position.Era() != before.Position.Era() {
		k.observeEraChange(before, next)
	}
	if next.Version == before.Version && len(next.Rollouts) == len(before.Rollouts) && !next.HasOpenVersions() &&
		maps.Equal(next.EvacuatedZones, before.EvacuatedZones) {
		return
	}
	k.snapshotCache.dirtyAll = true
	k.recordOutcomes(before, next)
	version := reducer.Position(next.Version)
	k.common.Logger.Info("configuration in force",
		"version", version, "label", next.Label, "position", next.Position, "routes", len(next.Routes),
		"customers", len(next.Customers))
	k.recordEvent("configuration-in-force", map[string]string{"version": version.String(), "preset": next.ActivePreset})
}

// installStateSnapshot replaces the state by that of a state snapshot if that is later.
func (k *Controller) installStateSnapshot(m *schema.Snapshot, now time.Time) {
	next, err := reducer.DecodeState(m.State)
	if err != nil {
		k.common.Logger.Warn("state snapshot refused", "reason", err)
		k.recordEvent("snapshot-refused", map[string]string{"reason": err.Error()})
		return
	}
	k.installState(next, now)
}

// installDelta replaces the state by a later one, built from the current one and a neighbour's delta. If the delta does
// not apply, it requests a state snapshot.
func (k *Controller) installDelta(l *gossiper.Link, d *schema.Delta, now time.Time) {
	if coverageOf(d.GetChanged()).Compare(k.state.Coverage()) <= 0 {
		return
	}
	next, err := k.state.WithDelta(d)
	if err != nil {
		k.common.Logger.Warn("delta refused", "neighbour", k.links[l].node, "position", k.state.Position, "reason", err)
		k.recordEvent("delta-refused", map[string]string{"reason": err.Error()})
		// No delta starts from position 0, so the neighbour answers with a state snapshot.
		k.sendPull(l, reducer.Coverage{})
		return
	}
	k.installState(next, now)
}

// installState replaces the state by a newer one, from a neighbour or from the newest records of the log; others are
// ignored. The history is cleared, since its records must be consecutive.
func (k *Controller) installState(next *reducer.State, now time.Time) {
	next, replaces := k.state.ReplacedBy(next)
	if !replaces {
		return
	}
	k.setState(next)
	k.history = history{}
	k.lastCheckpoint = next.Position
	k.announcePosition()
	k.updateReadiness(now)
}

// announcePosition updates the digest and the hello for a new position, and sends neighbours a heartbeat at once unless
// records are flooded.
func (k *Controller) announcePosition() {
	k.digest = k.state.Digest()
	k.publishHello()
	k.heartbeatDue = k.heartbeatDue || !k.common.Settings.FloodRecords
}

// observeLogRead notes a read of the log, by this node or another, whose records this node has all applied.
func (k *Controller) observeLogRead(readAt time.Time) {
	if k.freshness.observe(readAt) {
		k.heartbeatDue = true
	}
	k.updateReadiness(time.Now())
}
