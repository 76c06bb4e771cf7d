package controller

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/ranker"
	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// evidenceWindow is how long a node counts as reporting to a controller after its last report, in addition to the time
// between two reports.
const evidenceWindow = 2 * time.Second

// controlledRollout is a rollout that this node controls or has controlled. A controller that has been superseded or
// fenced decides nothing, but keeps its evidence in case it takes control again.
type controlledRollout struct {
	analysis *roller.Analysis
	// reportedAt is when the last report was received, outcomeAt when writing the outcome was last attempted.
	reportedAt time.Time
	outcomeAt  time.Time
	atRisk     bool
	// epoch is this controller's fencing token. Each takeover chooses a higher one.
	epoch uint64
	// writes is the number of writes with the epoch; it is the sequence number of the last one.
	writes uint64
	// fenced is set once the log has refused the epoch. No other write uses it.
	fenced bool
	// readingProgress is set while a fenced controller reads who has fenced it.
	readingProgress bool
	// pendingStep is the step whose write is in progress, or 0. resuming is set while the write of a resumption is.
	pendingStep uint32
	resuming    bool
	// savedStep is the highest step of all queued writes. It never decreases.
	savedStep uint32
	// completionReason is set once the completion has been written without a known result. Since the operator may have
	// acted on it, only the completion is written from then on.
	completionReason string
	// outcomeMissing is set from when the log was found not to hold the outcome until that is saved.
	outcomeMissing bool
	// heardAt holds when each node last reported to this controller.
	heardAt map[string]time.Time
}

func (c *controlledRollout) observe(report *schema.Report, now time.Time) {
	c.reportedAt = now
	c.heardAt[report.Node] = now
	for _, node := range report.ForwardedFrom {
		c.heardAt[node] = now
	}
	c.analysis.Observe(report.Evidence, now)
}

// isActive reports whether c is this node's control of a rollout and no newer controller is known.
func (k *Controller) isActive(c *controlledRollout, r *schema.Rollout) bool {
	return c != nil && c.analysis.Rollout().DeclaredVersion == r.DeclaredVersion && !c.fenced &&
		k.progress[r.Name].GetEpoch() <= c.epoch
}

// takeControl makes this node the controller of a rollout. It chooses an epoch above every known one, that of the report
// included, which supersedes the earlier controllers. Evidence from an earlier time as controller is kept.
func (k *Controller) takeControl(r *schema.Rollout, reported uint64, now time.Time) *controlledRollout {
	c := k.controlled[r.Name]
	if c == nil || c.analysis.Rollout().DeclaredVersion != r.DeclaredVersion {
		c = &controlledRollout{heardAt: map[string]time.Time{}, analysis: roller.New(roller.Config{Rollout: r,
			Preset: k.state.Preset(), Now: now, Step: int(k.step(r)), Deadline: k.deadline(r, now)})}
		k.controlled[r.Name] = c
	}
	c.reportedAt = now
	c.completionReason = ""
	known := max(k.progress[r.Name].GetEpoch(), c.epoch, reported)
	k.beginEpoch(c, known, now)
	k.common.Logger.Info("controlling rollout", "rollout", r.Name, "to", r.To, "time-left", c.analysis.Deadline().Sub(now),
		"epoch", c.epoch, "superseded-epoch", known)
	k.recordRolloutEvent(r, "rollout-controller", nil)
	if savesProgress(r) && !isDecided(k.progress[r.Name]) {
		k.saveProgress(c, k.progress[r.Name], nil)
	}
	return c
}

// beginEpoch chooses an epoch above a known one and announces it to the mesh.
func (k *Controller) beginEpoch(c *controlledRollout, known uint64, now time.Time) {
	r := c.analysis.Rollout()
	node := k.table.Self().Node
	c.epoch, c.writes, c.fenced, c.pendingStep, c.resuming = nextEpoch(known, node), 0, false, 0, false
	p := newProgress(r)
	p.Epoch, p.Controller, p.HeardUnixMs = c.epoch, node, now.Add(-k.rolloutAge(r, now)).UnixMilli()
	k.mergeProgress(p, nil)
}

// epochRange is the number of epochs per takeover. Nodes that take over at the same time choose different epochs in the
// range, unless the hashes of their names collide.
const epochRange = 1 << 16

// nextEpoch returns the epoch of a node in the range above the given epoch.
func nextEpoch(last uint64, node string) uint64 {
	return (last/epochRange+1)*epochRange + ranker.Score("epoch", node)%epochRange
}

// hearsNewVersion reports whether at least half of the nodes beside upstreams of the new version, and at least one, have
// reported to this controller recently. Without their evidence the new version may not get more traffic: that it looks
// good would only mean that its failures are reported to no one or to another controller.
func (k *Controller) hearsNewVersion(c *controlledRollout, now time.Time) bool {
	s := k.Snapshot().Services[c.analysis.Rollout().Service]
	if s == nil {
		return false
	}
	window := evidenceWindow + scaledInterval(k.common.Settings.ReportInterval, k.table.Len())
	heard := 0
	for _, e := range s.Canary {
		if now.Sub(c.heardAt[e.Node]) <= window {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(s.Canary)
}

// advance moves a rollout to a step. Where progress is saved, the step takes effect only once it is, so that a controller
// that has been fenced moves no traffic.
func (k *Controller) advance(c *controlledRollout, step uint32) {
	r := c.analysis.Rollout()
	k.common.Logger.Info("advancing rollout", "rollout", r.Name, "step", step, "reporting-nodes", len(c.heardAt),
		"evidence", c.analysis.Summary())
	p := newProgress(r)
	p.Step, p.Pauses = step, k.progress[r.Name].GetPauses()
	if !savesProgress(r) {
		k.mergeProgress(p, nil)
		return
	}
	p.HeardUnixMs = k.progress[r.Name].GetHeardUnixMs()
	c.pendingStep = step
	k.saveProgress(c, p, func() { k.mergeProgress(p, nil) })
}

// setPauses pauses or resumes a rollout. A pause takes effect at once, since it takes calls from the new version only; where
// progress is saved, a resumption takes effect once it is saved, as a step does.
func (k *Controller) setPauses(c *controlledRollout, pauses uint32) {
	r := c.analysis.Rollout()
	k.common.Logger.Info("changing whether rollout is paused", "rollout", r.Name, "paused", roller.IsPaused(pauses),
		"evidence", c.analysis.Summary())
	p := newProgress(r)
	p.Step, p.Pauses = k.step(r), pauses
	if roller.IsPaused(pauses) || !savesProgress(r) {
		k.mergeProgress(p, nil)
	}
	if !savesProgress(r) {
		return
	}
	saved := proto.CloneOf(p)
	saved.HeardUnixMs = k.progress[r.Name].GetHeardUnixMs()
	c.resuming = !roller.IsPaused(pauses)
	k.saveProgress(c, saved, func() { k.mergeProgress(p, nil) })
}

// saveProgress queues a write of the progress with the controller's epoch. The saved step never goes back. onSaved, if not nil,
// is called on the control goroutine after a successful write.
func (k *Controller) saveProgress(c *controlledRollout, p *schema.Progress, onSaved func()) {
	r := c.analysis.Rollout()
	log := k.config.Log
	c.writes++
	c.savedStep = max(c.savedStep, p.Step)
	write := proto.CloneOf(p)
	write.Step, write.Epoch, write.Controller, write.Sequence = c.savedStep, c.epoch, k.table.Self().Node, c.writes
	queued := k.appender.enqueue(appendJob{name: "progress/" + r.Name,
		write:    func(ctx context.Context) error { return log.SaveProgress(ctx, r, write) },
		onResult: func(err error) { k.handleSaveResult(c, write, err, onSaved) }})
	if !queued {
		c.writes--
		c.pendingStep, c.resuming = 0, false
	}
}

// handleSaveResult handles the result of a write of the progress. A result for an epoch that the controller has given up
// is only logged. After a failed write, which may have taken effect, the controller continues with a new epoch: a
// different write may not reuse the sequence number.
func (k *Controller) handleSaveResult(c *controlledRollout, write *schema.Progress, err error, onSaved func()) {
	if err == nil && onSaved != nil {
		onSaved()
	}
	if c.epoch != write.Epoch {
		if err != nil {
			k.common.Logger.Info("progress of an earlier epoch not saved", "rollout", write.Rollout, "epoch", write.Epoch, "reason", err)
		}
		return
	}
	c.pendingStep, c.resuming = 0, false
	switch {
	case errors.Is(err, ErrFenced):
		k.handleFenced(c, err)
	case err != nil && k.isActive(c, c.analysis.Rollout()):
		k.beginEpoch(c, c.epoch, time.Now())
	}
}

// handleFenced gives up control after the log has refused the controller's epoch, and reads from the log who has fenced
// it. Until then, this node neither decides nor takes control again.
func (k *Controller) handleFenced(c *controlledRollout, err error) {
	r := c.analysis.Rollout()
	c.fenced = true
	k.common.Logger.Warn("rollout taken over by a newer controller", "rollout", r.Name, "epoch", c.epoch, "reason", err)
	log := k.config.Log
	var found Discovery
	queued := k.appender.enqueue(appendJob{name: "read progress/" + r.Name,
		write: func(ctx context.Context) error {
			var err error
			found, err = log.Discover(ctx)
			return err
		},
		onResult: func(err error) {
			c.readingProgress = false
			if err == nil {
				k.mergeSavedProgress(found.Progress)
			}
		}})
	c.readingProgress = queued
}
