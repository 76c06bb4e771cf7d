package controller

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// orderTarget names the orders of one rollout to one version.
type orderTarget struct {
	rollout string
	to      string
}

// newProgress returns the progress of a rollout on its first step.
func newProgress(r *schema.Rollout) *schema.Progress {
	return &schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, To: r.To, DurationMs: r.DurationMs}
}

// continuedProgress returns the progress of an order in an earlier era as that of the rollout which continues the order. The
// log may have lost the report of its outcome.
func continuedProgress(p *schema.Progress, r *schema.Rollout) *schema.Progress {
	continued := proto.CloneOf(p)
	continued.DeclaredVersion = r.DeclaredVersion
	continued.Reported, continued.ReportedEra = false, 0
	return continued
}

// isReported reports whether the outcome of a rollout was reported in the era of the state in force.
func (k *Controller) isReported(p *schema.Progress) bool {
	return p.GetReported() && p.ReportedEra >= k.state.Position.Era()
}

// followOrders adapts what this node knows of rollouts to the orders of a new state. What continues an order of the state
// before keeps age, progress and evidence.
func (k *Controller) followOrders(before *reducer.State) {
	for name, r := range k.state.Rollouts {
		if old := before.Rollouts[name]; old != nil && reducer.Continues(old, r) {
			k.continueOrder(old, r)
		}
	}
	k.recordFirstSeen(time.Now())
	k.dropSupersededProgress()
	k.mergeHeldProgress()
}

// continueOrder carries over what this node knows of an order to the rollout that continues it.
func (k *Controller) continueOrder(old, r *schema.Rollout) {
	k.common.Logger.Info("rollout continues", "rollout", r.Name, "to", r.To, "declared", reducer.Position(r.DeclaredVersion),
		"declared-before", reducer.Position(old.DeclaredVersion))
	if seen, ok := k.firstSeen[old.DeclaredVersion]; ok {
		k.firstSeen[r.DeclaredVersion] = seen
	}
	if p := k.progress[r.Name]; p.GetDeclaredVersion() == old.DeclaredVersion {
		k.progress[r.Name] = continuedProgress(p, r)
	}
	if c := k.controlled[r.Name]; c != nil && c.analysis.Rollout().DeclaredVersion == old.DeclaredVersion {
		c.analysis.SetRollout(r)
	}
}

// dropSupersededProgress removes the progress of rollouts that no longer exist or were ordered again: the start, the step
// and the outcome of an earlier order say nothing about the new one.
func (k *Controller) dropSupersededProgress() {
	maps.DeleteFunc(k.progress, func(name string, p *schema.Progress) bool {
		r := k.state.Rollouts[name]
		superseded := r.GetDeclaredVersion() != p.DeclaredVersion
		if superseded && r != nil {
			k.holdProgress(p)
		}
		return superseded
	})
}

// holdProgress keeps progress of an order that is not in the state in force, unless that holds a later order: the state may
// be behind the sender's, or the log has lost the order and the operator writes it again.
func (k *Controller) holdProgress(p *schema.Progress) {
	if r := k.state.Rollouts[p.GetRollout()]; r != nil && reducer.PrecedesProgress(p, r) {
		return
	}
	target := orderTarget{rollout: p.GetRollout(), to: p.GetTo()}
	held := k.heldProgress[target]
	if p.GetDeclaredVersion() < held.GetDeclaredVersion() {
		return
	}
	if p.GetDeclaredVersion() == held.GetDeclaredVersion() {
		p = mergedProgress(held, p)
	}
	k.heldProgress[target] = p
}

// mergeHeldProgress merges the held progress of orders that the state in force holds, and drops that of earlier ones.
func (k *Controller) mergeHeldProgress() {
	if len(k.heldProgress) == 0 {
		return
	}
	held := k.heldProgress
	k.heldProgress = map[orderTarget]*schema.Progress{}
	for _, p := range held {
		k.mergeProgress(p, nil)
	}
}

// mergeSavedProgress merges progress that was found in the log.
func (k *Controller) mergeSavedProgress(progress []*schema.Progress) {
	for _, p := range progress {
		k.mergeProgress(p, nil)
	}
}

// rewriteProgress has the rollouts that this node controls continue with a new epoch and their progress saved again, after the
// log has begun a new era: it may have lost both. Outcomes are written again with the next evaluation.
func (k *Controller) rewriteProgress(now time.Time) {
	for name, c := range k.controlled {
		r := c.analysis.Rollout()
		if k.openRollout(name, r.DeclaredVersion) == nil || !k.isActive(c, r) || !savesProgress(r) {
			continue
		}
		c.outcomeAt = time.Time{}
		k.beginEpoch(c, c.epoch, now)
		if p := k.progress[name]; !isDecided(p) && c.completionReason == "" {
			k.saveProgress(c, p, nil)
		}
	}
}
