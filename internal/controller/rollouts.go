package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// controlTimeout is how long a node remains a rollout's controller without receiving reports.
	controlTimeout = 5 * time.Second
	// outcomeRetryInterval is the time between two attempts to write a rollout's outcome.
	outcomeRetryInterval = 3 * time.Second
)

// controlledRollout is a rollout for which this node acts as controller.
type controlledRollout struct {
	analysis *roller.Analysis
	// reportedAt is when the last report was received, outcomeAt when writing the outcome was last attempted.
	reportedAt time.Time
	outcomeAt  time.Time
	atRisk     bool
	// epoch is this controller's fencing token. fenced is set once a newer controller has written.
	epoch  uint64
	fenced bool
}

// openRollout returns the rollout with a name if it is open and was declared in the given version, or else nil.
func (k *Controller) openRollout(name string, declaredVersion uint64) *schema.Rollout {
	r := k.state.Rollouts[name]
	if r == nil || r.DeclaredVersion != declaredVersion || r.Phase != schema.RolloutPhase_ROLLOUT_PHASE_OPEN {
		return nil
	}
	return r
}

// observeReport evaluates a node's evidence. The first report on a rollout makes this node a controller of it.
func (k *Controller) observeReport(report *schema.Report, now time.Time) {
	r := k.openRollout(report.Rollout, report.DeclaredVersion)
	if r == nil {
		return
	}
	c, ok := k.controlled[r.Name]
	if !ok || c.analysis.Rollout().DeclaredVersion != r.DeclaredVersion {
		c = k.startControl(r, now)
	}
	c.reportedAt = now
	c.analysis.Observe(report.Evidence, now)
	k.evaluateRollout(c, now)
}

// startControl makes this node a controller of a rollout. For a rollout whose progress is saved, it chooses a new epoch,
// which fences earlier controllers.
func (k *Controller) startControl(r *schema.Rollout, now time.Time) *controlledRollout {
	c := &controlledRollout{reportedAt: now, analysis: roller.New(roller.Config{Rollout: r, Preset: k.state.Preset(),
		Now: now, Step: int(k.step(r)), Deadline: k.deadline(r, now)})}
	k.controlled[r.Name] = c
	k.common.Logger.Info("controlling rollout", "rollout", r.Name, "to", r.To, "time-left", c.analysis.Deadline().Sub(now))
	k.recordRolloutEvent(r, "rollout-controller", nil)
	if savesProgress(r) {
		p := k.progress[r.Name]
		c.epoch = nextEpoch(p.GetEpoch(), k.table.Self().Node)
		k.mergeProgress(&schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, Epoch: c.epoch,
			HeardUnixMs: now.Add(-k.rolloutAge(r, now)).UnixMilli()}, nil)
		if !isDecided(k.progress[r.Name]) {
			k.saveProgress(c, k.progress[r.Name], nil)
		}
	}
	return c
}

// epochRange is the number of epochs per takeover. Nodes that take over at the same time choose different epochs in the
// range, unless the hashes of their names collide.
const epochRange = 1 << 16

// nextEpoch returns the epoch of a node in the range above the given epoch.
func nextEpoch(last uint64, node string) uint64 {
	return (last/epochRange+1)*epochRange + ranker.Score("epoch", node)%epochRange
}

// savesProgress reports whether the rollout's progress is saved with ConfigLog.SaveProgress, which also informs the
// operator. Such a rollout has a duration, counted from the order, instead of a deadline.
func savesProgress(r *schema.Rollout) bool { return r.DurationMs > 0 }

func isDecided(p *schema.Progress) bool { return p.GetRolledBack() || p.GetCompleted() }

// maxClockSkew is the assumed bound on the difference between the wall clocks of nodes. A start time from another node
// is used only if it is earlier than this node's own by more than this.
const maxClockSkew = 3 * time.Second

// rolloutAge returns the time since the first node saw a rollout, as far as this node knows.
func (k *Controller) rolloutAge(r *schema.Rollout, now time.Time) time.Duration {
	seen, ok := k.firstSeen[r.DeclaredVersion]
	if !ok {
		seen = now
		k.firstSeen[r.DeclaredVersion] = now
	}
	own := now.Sub(seen)
	p := k.progress[r.Name]
	if p.GetHeardUnixMs() == 0 {
		return own
	}
	remote := now.Sub(time.UnixMilli(p.HeardUnixMs))
	if remote < own+maxClockSkew {
		return own
	}
	return min(remote, time.Duration(r.DurationMs)*time.Millisecond)
}

// recordFirstSeen records when this node first saw each rollout, and removes rollouts that no longer exist.
func (k *Controller) recordFirstSeen(now time.Time) {
	known := map[uint64]bool{}
	for _, r := range k.state.Rollouts {
		known[r.DeclaredVersion] = true
		if _, ok := k.firstSeen[r.DeclaredVersion]; !ok {
			k.firstSeen[r.DeclaredVersion] = now
		}
	}
	maps.DeleteFunc(k.firstSeen, func(version uint64, _ time.Time) bool { return !known[version] })
}

// deadline returns when all traffic of a rollout must have moved, by this node's clock.
func (k *Controller) deadline(r *schema.Rollout, now time.Time) time.Time {
	if !savesProgress(r) {
		return time.UnixMilli(r.DeadlineUnixMs)
	}
	return now.Add(time.Duration(r.DurationMs)*time.Millisecond - k.rolloutAge(r, now))
}

// step returns the step of a rollout that is in force according to the merged progress.
func (k *Controller) step(r *schema.Rollout) uint32 {
	if p := k.progress[r.Name]; p != nil {
		return p.Step
	}
	return 0
}

// evaluateRollouts decides on the rollouts that this node controls. It drops those that are closed or without reports.
func (k *Controller) evaluateRollouts(now time.Time) {
	for name, c := range k.controlled {
		r := c.analysis.Rollout()
		if k.openRollout(name, r.DeclaredVersion) == nil || now.Sub(c.reportedAt) > controlTimeout {
			delete(k.controlled, name)
			continue
		}
		k.evaluateRollout(c, now)
	}
	k.resumeRollbacks(now)
}

// evaluateRollout applies the decision of the analysis: the next step, a rollback or the completion. A rollback takes
// effect at once, before the outcome is in the log.
func (k *Controller) evaluateRollout(c *controlledRollout, now time.Time) {
	r := c.analysis.Rollout()
	p := k.progress[r.Name]
	if c.fenced || p.GetCompleted() {
		return
	}
	if p != nil && p.RolledBack {
		k.writeOutcome(c, r, false, p.Reason, now)
		return
	}
	d := c.analysis.Decide(now, int(k.step(r)))
	if d.AtRisk && !c.atRisk {
		k.common.Logger.Warn("rollout at risk of missing its deadline", "rollout", r.Name)
		k.recordRolloutEvent(r, "rollout-at-risk", nil)
	}
	c.atRisk = d.AtRisk
	switch {
	case d.RolledBack:
		k.mergeProgress(&schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion,
			Step: k.step(r), RolledBack: true, Reason: d.Reason}, nil)
		k.writeOutcome(c, r, false, d.Reason, now)
	case d.Completed:
		k.writeOutcome(c, r, true, d.Reason, now)
	case d.Step > int(k.step(r)):
		k.mergeProgress(&schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, Step: uint32(d.Step)}, nil)
	}
}

// resumeRollbacks takes control of rolled back rollouts that are still open, since their controller may have failed
// before it wrote the outcome. It drops the progress of rollouts that are not open.
func (k *Controller) resumeRollbacks(now time.Time) {
	for name, p := range k.progress {
		r := k.openRollout(name, p.DeclaredVersion)
		if r == nil {
			delete(k.progress, name)
			continue
		}
		if p.RolledBack && !p.Reported && k.controlled[name] == nil && k.isPreferredController(r) {
			k.startControl(r, now)
		}
	}
}

// writeOutcome writes the outcome of a rollout. If several are written, the first valid record in the log decides.
func (k *Controller) writeOutcome(
	c *controlledRollout, r *schema.Rollout, completed bool, reason string, now time.Time,
) {
	if now.Sub(c.outcomeAt) < outcomeRetryInterval {
		return
	}
	c.outcomeAt = now
	if savesProgress(r) {
		k.saveOutcome(c, r, completed, reason)
		return
	}
	node := k.table.Self().Node
	id := fmt.Sprintf("outcome/%s/%d/%t/%s", r.Name, r.DeclaredVersion, completed, node)
	k.appender.enqueueRecord(id, &schema.Record{Id: id, Author: node, AppendedUnixMs: now.UnixMilli(),
		Body: &schema.Record_Outcome{Outcome: &schema.Outcome{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion,
			Completed: completed, Reason: reason}}})
}

// saveOutcome saves the outcome of a rollout and informs the operator. A completion takes effect only once it is saved,
// since another controller may have saved a rollback before.
func (k *Controller) saveOutcome(c *controlledRollout, r *schema.Rollout, completed bool, reason string) {
	if k.progress[r.Name].GetReported() {
		return
	}
	p := &schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, Step: k.step(r), RolledBack: !completed,
		Completed: completed, Reason: reason, Epoch: c.epoch, HeardUnixMs: k.progress[r.Name].GetHeardUnixMs(),
		Reported: true}
	k.saveProgress(c, p, func() { k.mergeProgress(p, nil) })
}

// saveProgress queues a write of the progress. If a newer controller has fenced this one, it stops controlling the
// rollout. onSaved, if not nil, is called on the control goroutine after a successful write.
func (k *Controller) saveProgress(c *controlledRollout, p *schema.Progress, onSaved func()) {
	r := c.analysis.Rollout()
	log := k.config.Log
	k.appender.enqueue(appendJob{name: "progress/" + r.Name,
		write: func(ctx context.Context) error { return log.SaveProgress(ctx, r, p) },
		onResult: func(err error) {
			switch {
			case errors.Is(err, ErrFenced):
				c.fenced = true
				k.common.Logger.Warn("rollout taken over by a newer controller", "rollout", r.Name, "epoch", c.epoch, "reason", err)
			case err == nil && onSaved != nil:
				onSaved()
			}
		}})
}

// mergeProgress merges progress into the known one, and broadcasts the result to the neighbours except from if it
// changed.
func (k *Controller) mergeProgress(p *schema.Progress, from *gossiper.Link) {
	r := k.openRollout(p.GetRollout(), p.GetDeclaredVersion())
	if r == nil {
		return
	}
	old := k.progress[r.Name]
	if old.GetDeclaredVersion() != r.DeclaredVersion {
		old = nil
	}
	merged := mergedProgress(old, p)
	if old != nil && proto.Equal(old, merged) {
		return
	}
	k.progress[r.Name] = merged
	k.snapshotCache.markServiceDirty(r.Service)
	f := k.frame()
	f.Progress = []*schema.Progress{merged}
	k.broadcast(f, from)
	k.recordProgress(r, old, merged)
}

// mergedProgress merges two values: completed overrides rolled back, which overrides every step. The higher step and
// epoch, and the earlier start, are kept.
func mergedProgress(old, p *schema.Progress) *schema.Progress {
	merged := proto.CloneOf(p)
	if old == nil {
		return merged
	}
	merged.Step = max(old.Step, p.Step)
	merged.Completed = old.Completed || p.Completed
	merged.RolledBack = (old.RolledBack || p.RolledBack) && !merged.Completed
	merged.Epoch = max(old.Epoch, p.Epoch)
	merged.Reported = old.Reported || p.Reported
	if old.Reason != "" {
		merged.Reason = old.Reason
	}
	if old.HeardUnixMs != 0 && (p.HeardUnixMs == 0 || old.HeardUnixMs < p.HeardUnixMs) {
		merged.HeardUnixMs = old.HeardUnixMs
	}
	return merged
}

// recordProgress logs what a merge has changed and records it in the timeline.
func (k *Controller) recordProgress(r *schema.Rollout, old, p *schema.Progress) {
	switch {
	case p.Completed && !old.GetCompleted():
		k.common.Logger.Info("rollout completed", "rollout", r.Name, "to", r.To, "reason", p.Reason)
		k.recordRolloutEvent(r, "rollout-completed", map[string]string{"reason": p.Reason})
	case p.RolledBack && !old.GetRolledBack():
		k.common.Logger.Warn("rollout rolled back", "rollout", r.Name, "reason", p.Reason)
		k.recordRolloutEvent(r, "rollout-rolling-back", map[string]string{"reason": p.Reason})
	case p.Step > old.GetStep():
		share := strconv.FormatFloat(roller.ShareAt(k.state.Preset(), int(p.Step)), 'g', 3, 64)
		k.common.Logger.Info("rollout step", "rollout", r.Name, "step", p.Step, "share", share)
		k.recordRolloutEvent(r, "rollout-step", map[string]string{"step": strconv.Itoa(int(p.Step)), "share": share})
	}
}

// recordOutcomes logs and records the rollouts that were closed by records of the log, and drops their progress.
func (k *Controller) recordOutcomes(before, after *reducer.State) {
	for name, r := range after.Rollouts {
		old := before.Rollouts[name]
		if r.Phase == schema.RolloutPhase_ROLLOUT_PHASE_OPEN ||
			old != nil && old.Phase == r.Phase && old.DeclaredVersion == r.DeclaredVersion {
			continue
		}
		event := "rollout-completed"
		if r.Phase == schema.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK {
			event = "rollout-rolled-back"
		}
		k.common.Logger.Info(event, "rollout", name, "reason", r.Reason)
		k.recordRolloutEvent(r, event, map[string]string{"reason": r.Reason})
		delete(k.progress, name)
	}
}

func (k *Controller) recordRolloutEvent(r *schema.Rollout, event string, fields map[string]string) {
	k.common.Recorder.Record(recorder.Event{Name: event, Service: r.Service, Rollout: r.Name, Fields: fields})
}
