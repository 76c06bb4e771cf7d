package controller

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// missingOutcomes holds the rollouts whose outcome the log did not hold when this node last looked: the versions that declared
// them, by name.
type missingOutcomes map[string]uint64

// compareOutcomes merges the progress that was found in the log, and compares the outcomes that the mesh knows with it. One that
// is missing twice is written again by this node: its controller may be cut off from the log, or an earlier one has written late.
func (k *Controller) compareOutcomes(saved []*schema.Progress, now time.Time) {
	k.mergeSavedProgress(saved)
	missing := missingOutcomes{}
	for name, p := range k.progress {
		r := k.openRollout(name, p.DeclaredVersion)
		if r == nil || !savesProgress(r) || !isDecided(p) || holdsOutcome(saved, p) {
			continue
		}
		missing[name] = p.DeclaredVersion
		if k.missingOutcomes[name] == p.DeclaredVersion {
			k.common.Logger.Warn("outcome of rollout missing in the log", "rollout", name, "declared", reducer.Position(p.DeclaredVersion))
			k.takeControl(r, p.Epoch, now).outcomeMissing = true
		}
	}
	k.missingOutcomes = missing
}

// holdsOutcome reports whether saved progress includes the outcome of a rollout, or is that of a later order.
func holdsOutcome(saved []*schema.Progress, p *schema.Progress) bool {
	return slices.ContainsFunc(saved, func(s *schema.Progress) bool {
		isOutcome := s.DeclaredVersion == p.DeclaredVersion && s.RolledBack == p.RolledBack && s.Completed == p.Completed
		return s.Rollout == p.Rollout && (isOutcome || s.DeclaredVersion > p.DeclaredVersion)
	})
}
