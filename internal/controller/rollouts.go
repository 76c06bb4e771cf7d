package controller

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarackpitch/tamarackpitch/internal/gossiper"
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
		s = &trialState{trial: roller.New(roller.Config{Rollout: r, Preset: k.state.Preset(), Now: now, Step: int(k.step(r))})}
		k.trials[r.Name] = s
		k.recordRollout(r, "rollout-controller", nil)
	}
	s.reportedAt = now
	s.trial.Observe(report.Evidence, now)
	k.decide(s, now)
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
		if p.RolledBack && k.trials[name] == nil && k.controls(r) {
			k.trials[name] = &trialState{reportedAt: now,
				trial: roller.New(roller.Config{Rollout: r, Preset: k.state.Preset(), Now: now, Step: int(p.Step)})}
		}
	}
}

// writeOutcome appends the end of a rollout. The first valid record in the log decides.
func (k *Controller) writeOutcome(s *trialState, r *schema.Rollout, completed bool, reason string, now time.Time) {
	if now.Sub(s.outcomeAt) < outcomeRetry {
		return
	}
	s.outcomeAt = now
	node := k.table.Self().Node
	id := fmt.Sprintf("outcome/%s/%d/%t/%s", r.Name, r.DeclaredVersion, completed, node)
	k.appender.queueRecord(id, &schema.Record{Id: id, Author: node, AppendedUnixMs: now.UnixMilli(),
		Body: &schema.Record_Outcome{Outcome: &schema.Outcome{Rollout: r.Name, DeclaredVersion: r.DeclaredVersion,
			Completed: completed, Reason: reason}}})
}

// mergeProgress takes in progress and spreads it if it changed anything:
// a rollback beats every step, a higher step a lower one.
func (k *Controller) mergeProgress(p *schema.Progress, from *gossiper.Link) {
	r := k.openRollout(p.GetRollout(), p.GetDeclaredVersion())
	if r == nil {
		return
	}
	old := k.progress[r.Name]
	if old != nil && (old.RolledBack || !p.RolledBack && p.Step <= old.Step) {
		return
	}
	if old != nil && p.RolledBack {
		p = proto.CloneOf(p)
		p.Step = max(p.Step, old.Step)
	}
	k.progress[r.Name] = p
	k.view.touchService(r.Service)
	f := k.frame()
	f.Progress = []*schema.Progress{p}
	k.broadcast(f, from)
	if p.RolledBack {
		k.common.Logger.Warn("rollout rolled back", "rollout", r.Name, "reason", p.Reason)
		k.recordRollout(r, "rollout-rolling-back", map[string]string{"reason": p.Reason})
		return
	}
	share := strconv.FormatFloat(roller.ShareAt(k.state.Preset(), int(p.Step)), 'g', 3, 64)
	k.recordRollout(r, "rollout-step", map[string]string{"step": strconv.Itoa(int(p.Step)), "share": share})
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
