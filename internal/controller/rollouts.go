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
	// trialLifetime is how long a controller without reports stays one.
	trialLifetime = 5 * time.Second
	// outcomeRetry is the pause between two tries to write a rollout's outcome.
	outcomeRetry = 3 * time.Second
)

// trialState is a rollout for which this node acts as controller.
type trialState struct {
	trial      *roller.Trial
	reportedAt time.Time
	outcomeAt  time.Time
	atRisk     bool
	// epoch is this controller's fencing token; fenced tells that a newer controller has written.
	epoch  uint64
	fenced bool
}

// openRollout returns a rollout if it is open and is the declaration meant.
func (k *Controller) openRollout(name string, declaredVersion uint64) *schema.Rollout {
	r := k.state.Rollouts[name]
	if r == nil || r.DeclaredVersion != declaredVersion || r.Phase != schema.RolloutPhase_ROLLOUT_PHASE_OPEN {
		return nil
	}
	return r
}

// observeReport takes in evidence. The first report makes this node a controller of the rollout.
func (k *Controller) observeReport(report *schema.Report, now time.Time) {
	r := k.openRollout(report.Rollout, report.DeclaredVersion)
	if r == nil {
		return
	}
	s, ok := k.trials[r.Name]
	if !ok || s.trial.Rollout().DeclaredVersion != r.DeclaredVersion {
		s = k.startTrial(r, now)
	}
	s.reportedAt = now
	s.trial.Observe(report.Evidence, now)
	k.decide(s, now)
}

// startTrial makes this node a controller of a rollout.
func (k *Controller) startTrial(r *schema.Rollout, now time.Time) *trialState {
	s := &trialState{reportedAt: now, trial: roller.New(roller.Config{Rollout: r, Preset: k.state.Preset(), Now: now,
		Step: int(k.step(r)), Deadline: k.deadline(r, now)})}
	k.trials[r.Name] = s
	k.common.Logger.Info("rollout controller", "rollout", r.Name, "to", r.To, "time-left", s.trial.Deadline().Sub(now))
	k.recordRollout(r, "rollout-controller", nil)
	if isReported(r) {
		p := k.progress[r.Name]
		s.epoch = nextEpoch(p.GetEpoch(), k.table.Self().Node)
		k.mergeProgress(&schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, Epoch: s.epoch,
			HeardUnixMs: now.Add(-k.heardFor(r, now)).UnixMilli()}, nil)
		if !isDecided(k.progress[r.Name]) {
			k.saveProgress(s, k.progress[r.Name], nil)
		}
	}
	return s
}

// epochStep leaves room for one epoch a node, so that two that take over at once never share one.
const epochStep = 1 << 16

// nextEpoch returns an epoch above the given one that no other node chooses.
func nextEpoch(last uint64, node string) uint64 {
	return (last/epochStep+1)*epochStep + ranker.Score("epoch", node)%epochStep
}

// isReported tells whether the operator wants to be told of the rollout's states, and gave a time
// from the order on instead of a deadline.
func isReported(r *schema.Rollout) bool { return r.DurationMs > 0 }

func isDecided(p *schema.Progress) bool { return p.GetRolledBack() || p.GetCompleted() }

// clockTolerance bounds how far the wall clocks of nodes may differ before a progress value from
// elsewhere tells that a rollout began earlier than this node heard of it.
const clockTolerance = 3 * time.Second

// heardFor returns the time since the first node heard of a rollout, as far as this node knows.
func (k *Controller) heardFor(r *schema.Rollout, now time.Time) time.Duration {
	heard, ok := k.heard[r.DeclaredVersion]
	if !ok {
		heard = now
		k.heard[r.DeclaredVersion] = now
	}
	own := now.Sub(heard)
	p := k.progress[r.Name]
	if p.GetHeardUnixMs() == 0 {
		return own
	}
	told := now.Sub(time.UnixMilli(p.HeardUnixMs))
	if told < own+clockTolerance {
		return own
	}
	return min(told, time.Duration(r.DurationMs)*time.Millisecond)
}

// hearRollouts notes when this node first heard of each rollout, and forgets those that are gone.
func (k *Controller) hearRollouts(now time.Time) {
	known := map[uint64]bool{}
	for _, r := range k.state.Rollouts {
		known[r.DeclaredVersion] = true
		if _, ok := k.heard[r.DeclaredVersion]; !ok {
			k.heard[r.DeclaredVersion] = now
		}
	}
	maps.DeleteFunc(k.heard, func(version uint64, _ time.Time) bool { return !known[version] })
}

func (k *Controller) deadline(r *schema.Rollout, now time.Time) time.Time {
	if !isReported(r) {
		return time.UnixMilli(r.DeadlineUnixMs)
	}
	return now.Add(time.Duration(r.DurationMs)*time.Millisecond - k.heardFor(r, now))
}

func (k *Controller) step(r *schema.Rollout) uint32 {
	if p := k.progress[r.Name]; p != nil {
		return p.Step
	}
	return 0
}

func (k *Controller) decideRollouts(now time.Time) {
	for name, s := range k.trials {
		r := s.trial.Rollout()
		if k.openRollout(name, r.DeclaredVersion) == nil || now.Sub(s.reportedAt) > trialLifetime {
			delete(k.trials, name)
			continue
		}
		k.decide(s, now)
	}
	k.retryRollbacks(now)
}

func (k *Controller) decide(s *trialState, now time.Time) {
	r := s.trial.Rollout()
	p := k.progress[r.Name]
	if s.fenced || p.GetCompleted() {
		return
	}
	if p != nil && p.RolledBack {
		k.writeOutcome(s, r, false, p.Reason, now)
		return
	}
	d := s.trial.Decide(now, int(k.step(r)))
	if d.AtRisk && !s.atRisk {
		k.common.Logger.Warn("rollout at risk of missing its deadline", "rollout", r.Name)
		k.recordRollout(r, "rollout-at-risk", nil)
	}
	s.atRisk = d.AtRisk
	switch {
	case d.RolledBack:
		k.mergeProgress(&schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion,
			Step: k.step(r), RolledBack: true, Reason: d.Reason}, nil)
		k.writeOutcome(s, r, false, d.Reason, now)
	case d.Completed:
		k.writeOutcome(s, r, true, d.Reason, now)
	case d.Step > int(k.step(r)):
		k.mergeProgress(&schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, Step: uint32(d.Step)}, nil)
	}
}

// retryRollbacks lets the log hear of rollbacks whose controller is gone.
func (k *Controller) retryRollbacks(now time.Time) {
	for name, p := range k.progress {
		r := k.openRollout(name, p.DeclaredVersion)
		if r == nil {
			delete(k.progress, name)
			continue
		}
		if p.RolledBack && !p.Reported && k.trials[name] == nil && k.controls(r) {
			k.startTrial(r, now)
		}
	}
}

// writeOutcome writes the end of a rollout. The first valid record in the log decides.
func (k *Controller) writeOutcome(s *trialState, r *schema.Rollout, completed bool, reason string, now time.Time) {
	if now.Sub(s.outcomeAt) < outcomeRetry {
		return
	}
	s.outcomeAt = now
	if isReported(r) {
		k.reportOutcome(s, r, completed, reason)
		return
	}
	node := k.table.Self().Node
	id := fmt.Sprintf("outcome/%s/%d/%t/%s", r.Name, r.DeclaredVersion, completed, node)
	k.appender.queueRecord(id, &schema.Record{Id: id, Author: node, AppendedUnixMs: now.UnixMilli(),
		Body: &schema.Record_Outcome{Outcome: &schema.Outcome{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion,
			Completed: completed, Reason: reason}}})
}

// reportOutcome tells the operator of the end of a rollout. A completion takes force only once it is written,
// since a rollback may still come first.
func (k *Controller) reportOutcome(s *trialState, r *schema.Rollout, completed bool, reason string) {
	if k.progress[r.Name].GetReported() {
		return
	}
	p := &schema.Progress{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion, Step: k.step(r), RolledBack: !completed,
		Completed: completed, Reason: reason, Epoch: s.epoch, HeardUnixMs: k.progress[r.Name].GetHeardUnixMs(), Reported: true}
	k.saveProgress(s, p, func() { k.mergeProgress(p, nil) })
}

// saveProgress queues a write of the progress. A controller that was fenced gives the rollout up.
func (k *Controller) saveProgress(s *trialState, p *schema.Progress, saved func()) {
	r := s.trial.Rollout()
	log := k.config.Log
	k.appender.queue(appendJob{what: "progress/" + r.Name,
		write: func(ctx context.Context) error { return log.SaveProgress(ctx, r, p) },
		written: func(err error) {
			switch {
			case errors.Is(err, ErrFenced):
				s.fenced = true
				k.common.Logger.Warn("rollout given up", "rollout", r.Name, "epoch", s.epoch, "reason", err)
			case err == nil && saved != nil:
				saved()
			}
		}})
}

// mergeProgress takes in progress and spreads it if it changed anything.
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
	k.view.touchService(r.Service)
	f := k.frame()
	f.Progress = []*schema.Progress{merged}
	k.broadcast(f, from)
	k.noteProgress(r, old, merged)
}

// mergedProgress joins two values: completed beats rolled back, which beats every step; a higher step beats a lower.
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

// noteProgress logs what a merge has changed.
func (k *Controller) noteProgress(r *schema.Rollout, old, p *schema.Progress) {
	switch {
	case p.Completed && !old.GetCompleted():
		k.common.Logger.Info("rollout completed", "rollout", r.Name, "to", r.To, "reason", p.Reason)
		k.recordRollout(r, "rollout-completed", map[string]string{"reason": p.Reason})
	case p.RolledBack && !old.GetRolledBack():
		k.common.Logger.Warn("rollout rolled back", "rollout", r.Name, "reason", p.Reason)
		k.recordRollout(r, "rollout-rolling-back", map[string]string{"reason": p.Reason})
	case p.Step > old.GetStep():
		share := strconv.FormatFloat(roller.ShareAt(k.state.Preset(), int(p.Step)), 'g', 3, 64)
		k.common.Logger.Info("rollout step", "rollout", r.Name, "step", p.Step, "share", share)
		k.recordRollout(r, "rollout-step", map[string]string{"step": strconv.Itoa(int(p.Step)), "share": share})
	}
}

// noteOutcomes records rollouts that the log has closed.
func (k *Controller) noteOutcomes(before, after *reducer.State) {
	for name, r := range after.Rollouts {
		old := before.Rollouts[name]
		if r.Phase == schema.RolloutPhase_ROLLOUT_PHASE_OPEN || old != nil && old.Phase == r.Phase && old.DeclaredVersion == r.DeclaredVersion {
			continue
		}
		event := "rollout-completed"
		if r.Phase == schema.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK {
			event = "rollout-rolled-back"
		}
		k.common.Logger.Info(event, "rollout", name, "reason", r.Reason)
		k.recordRollout(r, event, map[string]string{"reason": r.Reason})
		delete(k.progress, name)
	}
}

func (k *Controller) recordRollout(r *schema.Rollout, event string, fields map[string]string) {
	k.common.Recorder.Record(recorder.Event{Name: event, Service: r.Service, Rollout: r.Name, Fields: fields})
}
