package controller

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// receiveRecords takes records from a neighbour.
func (k *Controller) receiveRecords(l *gossiper.Link, s *linkState, records []*schema.LogRecord, now time.Time) {
	s.pulledAt = time.Time{}
	if k.applyRecords(records, l) {
		k.pull(l, s, now)
	}
}

// applyRecords applies records in order and spreads those that were new. It reports a gap.
func (k *Controller) applyRecords(records []*schema.LogRecord, from *gossiper.Link) (gap bool) {
	var fresh []*schema.LogRecord
	for _, r := range records {
		if r.Offset < k.state.Position {
			continue
		}
		if r.Offset > k.state.Position {
			gap = true
			break
		}
		k.applyRecord(r)
		fresh = append(fresh, r)
	}
	if len(fresh) == 0 {
		return gap
	}
	k.digest = k.state.Digest()
	k.publishHello()
	if k.common.Settings.FloodRecords {
		f := k.frame()
		f.Records = fresh
		k.broadcast(f, from)
	}
	return gap
}

func (k *Controller) applyRecord(r *schema.LogRecord) {
	before := k.state
	next, err := k.config.Reduce(before, r)
	k.common.Checker.Assert(next.Version >= before.Version && next.Position > before.Position,
		checker.VersionMonotonic, "version %d after %d", next.Version, before.Version)
	if err != nil {
		k.common.Checker.Assert(next.Version == before.Version, checker.AppliedWhole, "void record changed version %d", before.Version)
		k.common.Logger.Warn("record void", "offset", r.Offset, "reason", err)
		k.record("record-void", map[string]string{"offset": strconv.FormatUint(r.Offset, 10), "reason": err.Error()})
	}
	k.setState(next)
	k.history.add(r)
	if isCheckpoint(r) {
		k.lastCheckpoint = r.Offset
	}
}

func isCheckpoint(r *schema.LogRecord) bool {
	record := &schema.Record{}
	return proto.Unmarshal(r.Body, record) == nil && record.GetCheckpoint() != nil
}

// setState puts a later state in force.
func (k *Controller) setState(next *reducer.State) {
	before := k.state
	k.state = next
	k.hearRollouts(time.Now())
	if next.Version == before.Version && len(next.Rollouts) == len(before.Rollouts) && !next.HasOpenVersions() {
		return
	}
	k.view.dirtyAll = true
	k.noteOutcomes(before, next)
	version := strconv.FormatUint(next.Version, 10)
	k.common.Logger.Info("configuration in force", "version", next.Version, "label", next.Label, "position", next.Position, "routes", len(next.Routes))
	k.record("configuration-in-force", map[string]string{"version": version, "preset": next.ActivePreset})
}

// pullIfBehind asks a neighbour that is ahead, unless this node reads the log itself and will have it at once.
func (k *Controller) pullIfBehind(l *gossiper.Link, s *linkState, heard uint64, now time.Time) {
	lag := k.lag.lag(k.state.Position, heard, now)
	if heard <= k.state.Position || now.Sub(s.pulledAt) < pullTimeout {
		return
	}
	if k.readsLog() && lag < pullGrace {
		return
	}
	k.pull(l, s, now)
}

// readsLog tells whether this node follows the log itself, and can.
func (k *Controller) readsLog() bool {
	return k.start.ready && k.reader.active.Load() && !k.reader.lost.Load()
}

// pull asks a neighbour for what this node lacks.
func (k *Controller) pull(l *gossiper.Link, s *linkState, now time.Time) {
	s.pulledAt = now
	f := k.frame()
	f.Pull = &schema.Pull{Position: k.state.Position}
	l.Send(f)
}

func (k *Controller) answerPull(l *gossiper.Link, p *schema.Pull) {
	if p.Position >= k.state.Position {
		return
	}
	f := k.frame()
	if records, ok := k.history.from(p.Position); ok {
		f.Records = records
	} else if k.snapshotLimit.Allow() {
		f.Snapshot = &schema.Snapshot{State: k.state.Encode()}
	} else {
		f.Busy = &schema.Busy{ControlAddresses: k.someAddresses()}
	}
	l.Send(f)
}

// adoptSnapshot replaces the state by a later one, whole.
func (k *Controller) adoptSnapshot(m *schema.Snapshot, now time.Time) {
	next, err := reducer.DecodeState(m.State)
	if err != nil {
		k.common.Logger.Warn("snapshot refused", "reason", err)
		k.record("snapshot-refused", map[string]string{"reason": err.Error()})
		return
	}
	if next.Position <= k.state.Position || next.Version < k.state.Version {
		return
	}
	k.setState(next)
	k.history = history{}
	k.lastCheckpoint = next.Position
	k.digest = k.state.Digest()
	k.publishHello()
	k.checkStart(now)
}
