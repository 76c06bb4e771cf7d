package roller

import (
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// laterShares are the shares after a preset's first share. Those that are hardly above it are left out.
var laterShares = []float64{0.05, 0.25, 0.5, 1}

// minRise is the least factor between the first share and the next one.
const minRise = 2

const (
	// floorCalls is the least evidence for a step, whatever the deadline.
	floorCalls = 5
	// routeCalls is the least evidence on each route before the first step ends.
	routeCalls = 4
	// holdShare of the rollback threshold keeps a rollout on its step until the suspicion fades.
	holdShare = 0.4
	// evidenceTime is how long a controller gathers evidence of its own before a near deadline hurries it.
	evidenceTime = 2 * time.Second
	// minStep bounds how much a near deadline shortens a step.
	minStep = 500 * time.Millisecond
	// defaultFirstShare serves where no preset is in force.
	defaultFirstShare = 0.01
)

// Shares returns the shares of a rollout's steps under a preset, the last being 1.
func Shares(p *schema.Preset) []float64 {
	first := p.FirstShare
	if first <= 0 {
		first = defaultFirstShare
	}
	shares := []float64{first}
	for _, s := range laterShares {
		if s > minRise*first {
			shares = append(shares, s)
		}
	}
	return shares
}

// LastStep returns the index of the step with share 1.
func LastStep(p *schema.Preset) int { return len(Shares(p)) - 1 }

// ShareAt returns the share of a step.
func ShareAt(p *schema.Preset, step int) float64 {
	shares := Shares(p)
	return shares[min(max(step, 0), len(shares)-1)]
}

// Decision is what a controller does next.
type Decision struct {
	// Step to be reached; equal to the current one if nothing changes.
	Step       int
	RolledBack bool
	Completed  bool
	// AtRisk tells that the deadline will be missed at the present pace.
	AtRisk bool
	Reason string
}

// Decide returns the next action. One call moves at most one step.
func (t *Trial) Decide(now time.Time, step int) Decision {
	t.decay(now)
	t.judgePending(now)
	if step != t.step {
		t.step, t.stepSince, t.stepCalls = step, now, 0
	}
	if t.reason != "" {
		return Decision{Step: t.step, RolledBack: true, Reason: t.reason}
	}
	d := Decision{Step: t.step, AtRisk: t.atRisk(now)}
	if t.suspicion() >= holdShare*t.config.Preset.RollbackThreshold {
		return d
	}
	last := LastStep(t.config.Preset)
	elapsed := now.Sub(t.stepSince)
	switch {
	case t.step >= last:
		d.Completed = elapsed >= t.watch()
		d.Reason = "all traffic moved and the watch period passed"
	case elapsed >= t.stepTime() && !now.Before(t.firstStepEnd()) && t.stepCalls >= t.neededCalls(now) && t.everyRouteTried(now):
		t.step, t.stepSince, t.stepCalls = t.step+1, now, 0
		d.Step = t.step
	}
	return d
}

func (t *Trial) watch() time.Duration {
	return time.Duration(t.config.Preset.WatchMs) * time.Millisecond
}

// stepTime is the preset's interval, shortened where the deadline is near, and with a large share: what a bad version
// may get in all is limited, while the evidence comes faster.
func (t *Trial) stepTime() time.Duration {
	interval := time.Duration(t.config.Preset.StepIntervalMs) * time.Millisecond
	if share := ShareAt(t.config.Preset, t.step); share > largeShare {
		interval = time.Duration(float64(interval) * math.Sqrt(largeShare/share))
	}
	return max(min(interval, t.budget()), minStep)
}

// largeShare is the share above which a step takes less than the preset's interval.
const largeShare = 0.25

// firstStepEnd is the earliest end of the first step. A version that turns bad after a while, or with the
// first larger share, then does so while most calls still go to the old one.
func (t *Trial) firstStepEnd() time.Time {
	duration := time.Duration(t.config.Rollout.DurationMs) * time.Millisecond
	if t.step > 0 || duration == 0 {
		return time.Time{}
	}
	return t.config.Deadline.Add(-time.Duration((1 - t.config.Preset.FirstStepPart) * float64(duration)))
}

// budget is the time each remaining step may take so that the last one is reached by the deadline.
func (t *Trial) budget() time.Duration {
	remaining := LastStep(t.config.Preset) - t.step
	if remaining <= 0 {
		return t.watch()
	}
	// Half of the time in hand goes to the steps, the rest is slack for holds and handovers.
	return t.config.Deadline.Sub(t.stepSince) / time.Duration(2*remaining)
}

// neededCalls is the preset's evidence, and less once the step takes longer than its budget.
func (t *Trial) neededCalls(now time.Time) uint64 {
	if t.urgent(now) {
		return 0
	}
	needed := uint64(max(t.config.Preset.MinCalls, floorCalls))
	if now.Sub(t.stepSince) > t.budget() {
		return min(needed, floorCalls)
	}
	return needed
}

// urgent tells that the steps left, at their shortest, take all the time that is left. A version that gets
// no calls is not held back then: nothing speaks against it.
func (t *Trial) urgent(now time.Time) bool {
	if t.config.Rollout.DurationMs == 0 || now.Sub(t.config.Now) < evidenceTime {
		return false
	}
	shortest := time.Duration(LastStep(t.config.Preset)-t.step)*minStep + t.watch()
	return t.config.Deadline.Sub(now) <= 2*shortest
}

// everyRouteTried tells whether the new version has taken a few calls on every route that the old one
// serves. Only the first step waits for that, and only while the deadline leaves the time.
func (t *Trial) everyRouteTried(now time.Time) bool {
	if t.step > 0 || now.Sub(t.stepSince) > t.budget() {
		return true
	}
	for _, r := range t.routes {
		if r.old.slow.calls >= 1 && r.newCalls < routeCalls {
			return false
		}
	}
	return true
}

func (t *Trial) atRisk(now time.Time) bool {
	last := LastStep(t.config.Preset)
	if t.step >= last {
		return false
	}
	if now.After(t.config.Deadline) {
		return true
	}
	return now.Sub(t.stepSince) > 2*t.budget()
}
