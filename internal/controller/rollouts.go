package controller

import (
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// controlTimeout is how long a node remains a rollout's controller without receiving reports.
	controlTimeout = 5 * time.Second
	// outcomeRetryInterval is the time between two attempts to write a rollout's outcome.
	outcomeRetryInterval = 3 * time.Second
)

// openRollout returns the rollout with a name if it is open and was declared in the given version, or else nil.
func (k *Controller) openRollout(name string, declaredVersion uint64) *schema.Rollout {
	r := k.state.Rollouts[name]
	if r == nil || r.DeclaredVersion != declaredVersion || r.Phase != schema.RolloutPhase_ROLLOUT_PHASE_OPEN {
		return nil
	}
	return r
}

// observeReport evaluates a node's evidence if this node controls the rollout. Otherwise it passes the report on to the
// controller, or takes control if there is none that it could reach.
func (k *Controller) observeReport(report *schema.Report, now time.Time) {
	r := k.openRollout(report.Rollout, report.DeclaredVersion)
	if r == nil {
		return
	}
	c := k.controlled[r.Name]
	switch {
	case k.isActive(c, r):
	case c != nil && c.readingProgress:
		c.observe(report, now)
		return
	case k.forwards(r, report, now):
		k.reporter.forward(report)
		return
	default:
		c = k.takeControl(r, report.Epoch, now)
	}
	c.observe(report, now)
	k.evaluateRollout(c, now)
}

// takeoverInterval is how long a controller is not superseded after it has taken control, while its node is alive.
const takeoverInterval = 2 * time.Second

// forwards reports whether a report is passed on to another node that controls the rollout: if the sender did not know
// that controller yet, or if it could not reach it, but this node may. This node's own reporter has tried before; its
// report stays with it for takeoverInterval. Otherwise two nodes that don't reach each other would supersede each other
// with every report, and neither would collect enough evidence.
func (k *Controller) forwards(r *schema.Rollout, report *schema.Report, now time.Time) bool {
	p := k.progress[r.Name]
	self := k.table.Self().Node
	if p.GetController() == "" || p.GetController() == self {
		return false
	}
	if p.Epoch > report.Epoch {
		return true
	}
	m := k.table.Get(p.Controller)
	if m == nil || m.Status != schema.MemberStatus_MEMBER_STATUS_ALIVE {
		return false
	}
	return report.Node != self || now.Sub(k.epochKnownAt[r.Name]) < takeoverInterval
}

// savesProgress reports whether the rollout's progress is saved with ConfigLog.SaveProgress, which also informs the
// operator. Such a rollout has a duration, counted from the order, instead of a deadline.
func savesProgress(r *schema.Rollout) bool { return r.DurationMs > 0 }

func isDecided(p *schema.Progress) bool { return p.GetRolledBack() || p.GetCompleted() }

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
	k.resumeOutcomes(now)
}

// evaluateRollout applies the decision of the analysis: the next step, a rollback or the completion. A rollback takes
// effect at once, before the outcome is in the log.
func (k *Controller) evaluateRollout(c *controlledRollout, now time.Time) {
	r := c.analysis.Rollout()
	p := k.progress[r.Name]
	switch {
	case !k.isActive(c, r):
		return
	case p.GetCompleted():
		k.writeOutcome(c, r, true, p.Reason, now)
		return
	case c.completionReason != "":
		k.writeOutcome(c, r, true, c.completionReason, now)
		return
	case p.GetRolledBack():
		k.writeOutcome(c, r, false, p.Reason, now)
		return
	}
	step, pauses := max(k.step(r), c.pendingStep), p.GetPauses()
	c.analysis.SetPauses(pauses, now)
	d := c.analysis.Decide(now, int(step))
	if d.AtRisk && !c.atRisk {
		k.common.Logger.Warn("rollout at risk of missing its deadline", "rollout", r.Name)
		k.recordRolloutEvent(r, "rollout-at-risk", nil)
	}
	c.atRisk = d.AtRisk
	switch {
	case d.RolledBack:
		rolledBack := newProgress(r)
		rolledBack.Step, rolledBack.RolledBack, rolledBack.Reason = k.step(r), true, d.Reason
		k.mergeProgress(rolledBack, nil)
		k.writeOutcome(c, r, false, d.Reason, now)
	case d.Pauses != pauses && !c.resuming:
		k.setPauses(c, d.Pauses)
	case c.pendingStep != 0 || !k.hearsNewVersion(c, now):
		// The rollout stays on its step until the last one is saved, and while evidence may be missing.
	case d.Completed:
		c.completionReason = d.Reason
		k.writeOutcome(c, r, true, d.Reason, now)
	case d.Step > int(step):
		k.advance(c, uint32(d.Step))
	}
}

// resumeOutcomes takes control of decided rollouts that are still open, since their controller may have failed before it
// wrote the outcome, or the log has lost it. It drops the progress of rollouts that are not open.
func (k *Controller) resumeOutcomes(now time.Time) {
	for name, p := range k.progress {
		r := k.openRollout(name, p.DeclaredVersion)
		if r == nil {
			delete(k.progress, name)
			continue
		}
		if k.start.ready && isDecided(p) && !k.isReported(p) && k.mustResume(r, p) {
			k.takeControl(r, p.Epoch, now)
		}
	}
}

// mustResume reports whether this node has to take control of a decided rollout, since its controller is this node or is
// gone.
func (k *Controller) mustResume(r *schema.Rollout, p *schema.Progress) bool {
	if c := k.controlled[r.Name]; k.isActive(c, r) || c != nil && c.readingProgress {
		return false
	}
	if m := k.table.Get(p.Controller); m != nil && isUsable(m) {
		return p.Controller == k.table.Self().Node
	}
	return k.isPreferredController(r)
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
	known := k.progress[r.Name]
	if k.isReported(known) && !c.outcomeMissing {
		return
	}
	p := newProgress(r)
	p.Step, p.HeardUnixMs = k.step(r), known.GetHeardUnixMs()
	p.RolledBack, p.Completed, p.Reason = !completed, completed, reason
	p.Reported, p.ReportedEra = true, k.state.Position.Era()
	k.saveProgress(c, p, func() {
		c.outcomeMissing = false
		k.mergeProgress(p, nil)
	})
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
