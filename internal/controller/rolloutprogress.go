package controller

import (
	"maps"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

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

// mergeProgress merges progress into the known one, and broadcasts the result to the neighbours except from if it
// changed. Progress of an order that is not in the state in force is held.
func (k *Controller) mergeProgress(p *schema.Progress, from *gossiper.Link) {
	if r := k.state.Rollouts[p.GetRollout()]; r != nil && reducer.ContinuesProgress(p, r) {
		p = continuedProgress(p, r)
	} else if r.GetDeclaredVersion() != p.GetDeclaredVersion() {
		k.holdProgress(p)
		return
	}
	r := k.openRollout(p.GetRollout(), p.GetDeclaredVersion())
	if r == nil {
		return
	}
	old := k.progress[r.Name]
	if old.GetDeclaredVersion() != r.DeclaredVersion {
		old = nil
	}
	merged := mergedProgress(old, p)
	merged.To, merged.DurationMs = r.To, r.DurationMs
	if old != nil && proto.Equal(old, merged) {
		return
	}
	k.progress[r.Name] = merged
	if merged.Epoch > old.GetEpoch() {
		k.epochKnownAt[r.Name] = time.Now()
	}
	k.snapshotCache.markServiceDirty(r.Service)
	f := k.frame()
	f.Progress = []*schema.Progress{merged}
	k.broadcast(f, from)
	k.recordProgress(r, old, merged)
}

// mergedProgress merges two values: completed overrides rolled back, which overrides every step. The higher step, the
// higher number of pauses, the higher epoch with its controller, and the earlier start are kept. If two nodes have chosen
// the same epoch, the one whose name sorts last is kept, so that all nodes agree.
func mergedProgress(old, p *schema.Progress) *schema.Progress {
	merged := proto.CloneOf(p)
	merged.Sequence = 0
	if old == nil {
		return merged
	}
	merged.Step = max(old.Step, p.Step)
	merged.Pauses = max(old.Pauses, p.Pauses)
	merged.Completed = old.Completed || p.Completed
	merged.RolledBack = (old.RolledBack || p.RolledBack) && !merged.Completed
	if old.Epoch > p.Epoch || old.Epoch == p.Epoch && old.Controller > p.Controller {
		merged.Epoch, merged.Controller = old.Epoch, old.Controller
	}
	merged.Reported = old.Reported || p.Reported
	merged.ReportedEra = max(old.ReportedEra, p.ReportedEra)
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
	case p.Pauses > old.GetPauses():
		event := "rollout-resumed"
		if roller.IsPaused(p.Pauses) {
			event = "rollout-paused"
		}
		k.common.Logger.Info(event, "rollout", r.Name)
		k.recordRolloutEvent(r, event, nil)
	case p.Step > old.GetStep():
		share := strconv.FormatFloat(roller.ShareAt(k.state.Preset(), int(p.Step)), 'g', 3, 64)
		k.common.Logger.Info("rollout step", "rollout", r.Name, "step", p.Step, "share", share)
		k.recordRolloutEvent(r, "rollout-step", map[string]string{"step": strconv.Itoa(int(p.Step)), "share": share})
	}
}
