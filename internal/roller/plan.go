package roller

import (
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// laterShares are the shares of the steps after the preset's first share. Those too close to it are skipped.
var laterShares = []float64{0.05, 0.25, 0.5, 1}

// minShareFactor is the factor by which the second share must exceed the first one.
const minShareFactor = 2

const (
	// minCallsPerStep is the lowest number of calls for a step of a service that gets calls.
	minCallsPerStep = 5
	// minCallsPerRoute is the number of calls to the new version on each route before the first step ends.
	minCallsPerRoute = 4
	// coverageTime is how much longer a step lasts at most for calls to the new version on the main routes.
	coverageTime = 1500 * time.Millisecond
	// holdFraction is the fraction of the rollback threshold at which a score holds the rollout on its step, until the
	// score has fallen below it again.
	holdFraction = 0.4
	// minObservationTime is how long a controller collects evidence of its own before a near deadline lets it advance
	// with fewer calls: one that has just taken over has none yet.
	minObservationTime = 2 * time.Second
	// minAllNewProbability is the lowest probability, given the share, that all calls of a step went to the new version for
	// which the absence of calls to the old one is taken for a fact.
	minAllNewProbability = 0.01
	// minStepDuration is the lower bound of a step that is shortened because of the deadline.
	minStepDuration = 500 * time.Millisecond
	// defaultFirstShare is used when the preset sets no first share.
	defaultFirstShare = 0.01
)

// Shares returns the traffic share of the new version at each step of a rollout. The last one is 1.
func Shares(p *schema.Preset) []float64 {
	first := p.FirstShare
	if first <= 0 {
		first = defaultFirstShare
	}
	shares := []float64{first}
	for _, s := range laterShares {
		if s > minShareFactor*first {
			shares = append(shares, s)
		}
	}
	return shares
}

// LastStep returns the index of the step with share 1.
func LastStep(p *schema.Preset) int { return len(Shares(p)) - 1 }

// ShareAt returns the share of a step. Steps out of range are clamped.
func ShareAt(p *schema.Preset, step int) float64 {
	shares := Shares(p)
	return shares[min(max(step, 0), len(shares)-1)]
}

// Decision is the next action of a rollout controller.
type Decision struct {
	// Step is the step to move to, or the current one.
	Step       int
	RolledBack bool
	Completed  bool
	// Pauses is the number of pauses and resumptions to move to, or the current one; see IsPaused.
	Pauses uint32
	// AtRisk is set if the deadline is likely to be missed.
	AtRisk bool
	// Reason explains RolledBack or Completed. It has no meaning if neither is set.
	Reason string
}

// Decide returns the next action for a rollout at the given step. It advances by at most one step per call.
func (a *Analysis) Decide(now time.Time, step int) Decision {
	a.decay(now)
	a.evaluatePending(now)
	if step != a.step {
		a.enterStep(step, now)
	}
	if a.reason != "" {
		return Decision{Step: a.step, Pauses: a.pauses, RolledBack: true, Reason: a.reason}
	}
	d := Decision{Step: a.step, Pauses: a.pauses, AtRisk: a.atRisk(now)}
	if IsPaused(a.pauses) {
		if a.mayResume(now) {
			d.Pauses++
		}
		return d
	}
	a.held = a.failsTooOften()
	if a.held && a.mustPause() {
		d.Pauses++
	}
	if a.held || a.maxScore() >= holdFraction*a.config.Preset.RollbackThreshold {
		return d
	}
	last := LastStep(a.config.Preset)
	elapsed := now.Sub(a.stepSince)
	switch {
	case a.step >= last:
		d.Completed = elapsed >= a.watchPeriod()
		d.Reason = "all traffic moved and the watch period passed"
	case elapsed >= a.stepDuration() && !now.Before(a.firstStepEnd()) && a.isComparable() &&
		a.stepCalls >= a.requiredCalls(now) && a.allRoutesCovered(now):
		a.enterStep(a.step+1, now)
		d.Step = a.step
	}
	return d
}

// isComparable reports whether the old version's reports arrive: whether it has had calls, or the new one so few on this
// step that all calls may have gone there.
func (a *Analysis) isComparable() bool {
	return a.service.longTerm.calls >= 1 ||
		math.Pow(ShareAt(a.config.Preset, a.step), float64(a.stepCalls)) >= minAllNewProbability
}

// enterStep begins a step.
func (a *Analysis) enterStep(step int, now time.Time) {
	a.step, a.stepSince, a.stepCalls, a.heldFailures = step, now, 0, 0
}

func (a *Analysis) watchPeriod() time.Duration {
	return time.Duration(a.config.Preset.WatchMs) * time.Millisecond
}

// stepDuration returns the preset's step interval, shortened near the deadline and above largeShare: evidence arrives
// faster there, and the total number of calls that a bad version may receive is limited.
func (a *Analysis) stepDuration() time.Duration {
	interval := time.Duration(a.config.Preset.StepIntervalMs) * time.Millisecond
	if share := ShareAt(a.config.Preset, a.step); share > largeShare {
		interval = time.Duration(float64(interval) * math.Sqrt(largeShare/share))
	}
	return max(min(interval, a.stepBudget()), minStepDuration)
}

// largeShare is the share above which a step is shorter than the preset's interval.
const largeShare = 0.25

// firstStepEnd returns the earliest end of the first step, or the zero time if it is not limited. A version that turns
// bad after a while, or at the first larger share, then does so while most calls still go to the old one.
func (a *Analysis) firstStepEnd() time.Time {
	duration := time.Duration(a.config.Rollout.DurationMs) * time.Millisecond
	if a.step > 0 || duration == 0 {
		return time.Time{}
	}
	return a.config.Deadline.Add(-time.Duration((1 - a.config.Preset.FirstStepPart) * float64(duration)))
}

// stepBudget returns the time that each remaining step may take for the last one to be reached by the deadline, or the
// preset's step interval if the deadline can't be met any more.
func (a *Analysis) stepBudget() time.Duration {
	remaining := LastStep(a.config.Preset) - a.step
	if remaining <= 0 {
		return a.watchPeriod()
	}
	if a.isLate(a.stepSince) {
		return time.Duration(a.config.Preset.StepIntervalMs) * time.Millisecond
	}
	// Half of the remaining time is for the steps, the other half is slack for holds and controller changes.
	return a.config.Deadline.Sub(a.stepSince) / time.Duration(2*remaining)
}

// requiredCalls returns how many calls to the new version the step needs: the preset's minimum, minCallsPerStep once
// the step exceeds its budget or the rollout is urgent, and none near or after the deadline in a service without calls.
func (a *Analysis) requiredCalls(now time.Time) uint64 {
	urgent := a.isUrgent(now)
	if a.isNearDeadline(now) && a.service.longTerm.calls < 1 {
		return 0
	}
	needed := uint64(max(a.config.Preset.MinCalls, minCallsPerStep))
	if urgent || now.Sub(a.stepSince) > a.stepBudget() {
		return min(needed, minCallsPerStep)
	}
	return needed
}

// isNearDeadline reports whether the time left is at most twice the minimum that the remaining steps and the watch period
// need.
func (a *Analysis) isNearDeadline(now time.Time) bool {
	if a.config.Rollout.DurationMs == 0 || now.Sub(a.config.Now) < minObservationTime {
		return false
	}
	return a.config.Deadline.Sub(now) <= 2*a.shortestTime()
}

// isUrgent reports whether the deadline is near and can still be met. The step then needs fewer calls.
func (a *Analysis) isUrgent(now time.Time) bool { return a.isNearDeadline(now) && !a.isLate(now) }

// isLate reports whether a rollout that has to be completed by its deadline can't be any more. It is then not hurried.
func (a *Analysis) isLate(now time.Time) bool {
	return a.config.Rollout.DurationMs > 0 && a.config.Deadline.Sub(now) < a.shortestTime()
}

// shortestTime returns the minimum that the remaining steps and the watch period need.
func (a *Analysis) shortestTime() time.Duration {
	return time.Duration(LastStep(a.config.Preset)-a.step)*minStepDuration + a.watchPeriod()
}

// allRoutesCovered reports whether the new version has received enough calls on every route that the old one serves. In
// the first step that is minCallsPerRoute calls, required within the step's budget. On main routes it doubles with each
// step, and is required until coverageTime after the earliest end of the step.
func (a *Analysis) allRoutesCovered(now time.Time) bool {
	needsAll := a.step == 0 && now.Sub(a.stepSince) <= a.stepBudget()
	earliest := a.stepSince.Add(a.stepDuration())
	if end := a.firstStepEnd(); end.After(earliest) {
		earliest = end
	}
	needsMain := now.Sub(earliest) <= coverageTime
	mainCalls := max(minMainShare*a.service.longTerm.calls, 1)
	for _, r := range a.routes {
		calls := r.baseline.longTerm.calls
		if needsAll && calls >= 1 && r.newCalls < minCallsPerRoute ||
			needsMain && calls >= mainCalls && r.newCalls < minCallsPerRoute<<a.step {
			return false
		}
	}
	return true
}

// atRisk reports whether the deadline has passed before the last step, or the step takes over twice its budget.
func (a *Analysis) atRisk(now time.Time) bool {
	last := LastStep(a.config.Preset)
	if a.step >= last {
		return false
	}
	if now.After(a.config.Deadline) {
		return true
	}
	return now.Sub(a.stepSince) > 2*a.stepBudget()
}
