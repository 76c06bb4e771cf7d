package roller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/roller"
	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	tick     = 200 * time.Millisecond
	duration = 15 * time.Second
)

// scenario simulates a rollout in virtual time. The calls of each tick are split by share, and a fraction of them fails.
type scenario struct {
	callsPerTick float64
	// oldFailureRate and newFailureRate return the failing fraction of a version's calls at a time and a share.
	oldFailureRate, newFailureRate func(elapsed time.Duration, share float64) float64
	// starved reports whether calls that the upstream depends on are being refused; nil means never.
	starved func(elapsed time.Duration) bool
}

// result is how a rollout ended. A zero decision means that it was still open at the end of its duration.
type result struct {
	decision roller.Decision
	after    time.Duration
	// calls counts all calls until the end, newCalls those to the new version, newFailures the failures among those.
	newCalls, calls, newFailures float64
	// pauses counts pauses and resumptions.
	pauses uint32
}

func (s scenario) run() result {
	start := time.Now()
	rollout := &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}
	preset := reducer.DefaultPreset([]string{"0"})
	analysis := roller.New(roller.Config{Rollout: rollout, Preset: preset, Now: start, Deadline: start.Add(duration)})
	step := 0
	var r result
	// newCallsDue carries the fraction of a call to the new version into the next tick.
	var newCallsDue float64
	for elapsed := time.Duration(0); elapsed <= duration; elapsed += tick {
		now := start.Add(elapsed)
		share := roller.ShareAt(preset, step)
		if roller.IsPaused(r.pauses) {
			share = 0
		}
		newCallsDue += s.callsPerTick * share
		newCalls := float64(int(newCallsDue))
		newCallsDue -= newCalls
		r.newCalls += newCalls
		r.calls += s.callsPerTick
		newEvidence := s.evidence("v2", newCalls, s.newFailureRate(elapsed, share), elapsed)
		r.newFailures += float64(newEvidence.Failures)
		analysis.Observe([]*schema.Evidence{
			s.evidence("v1", s.callsPerTick-newCalls, s.oldFailureRate(elapsed, share), elapsed), newEvidence}, now)
		d := analysis.Decide(now, step)
		if d.RolledBack || d.Completed {
			r.decision, r.after = d, elapsed
			return r
		}
		step = d.Step
		r.pauses = d.Pauses
		analysis.SetPauses(d.Pauses, now)
	}
	return r
}

func (s scenario) evidence(version string, calls, failureRate float64, elapsed time.Duration) *schema.Evidence {
	e := &schema.Evidence{Route: "r", Version: version, Calls: uint64(calls), Failures: uint64(calls*failureRate + 0.5)}
	if s.starved != nil && s.starved(elapsed) {
		e.StarvedCalls, e.StarvedFailures = e.Calls, e.Failures
	}
	return e
}

func constant(rate float64) func(time.Duration, float64) float64 {
	return func(time.Duration, float64) float64 { return rate }
}

// exposureLimit returns how many calls a bad version may receive: a tenth of all calls of the rollout, plus 50.
func (r result) exposureLimit(callsPerTick float64) float64 {
	return 0.1*callsPerTick*float64(duration/tick) + 50
}

// TestGoodVersionUnderOverload completes a rollout while both versions fail because a service that they depend on is
// overloaded. At full share there is no old version left to compare with.
func TestGoodVersionUnderOverload(t *testing.T) {
	overload := func(elapsed time.Duration, _ float64) float64 {
		if elapsed > 9*time.Second {
			return 0.35
		}
		return 0.02
	}
	s := scenario{callsPerTick: 30, oldFailureRate: overload, newFailureRate: overload,
		starved: func(time.Duration) bool { return true }}
	r := s.run()
	qt.Assert(t, r.decision.Completed, qt.IsTrue, qt.Commentf("%+v", r))
}

// TestBadVersionUnderOverload rolls a bad version back within the exposure limit although the old one fails often, too.
func TestBadVersionUnderOverload(t *testing.T) {
	s := scenario{callsPerTick: 30, oldFailureRate: constant(0.2), newFailureRate: constant(0.55),
		starved: func(time.Duration) bool { return true }}
	r := s.run()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
	qt.Assert(t, r.newCalls < r.exposureLimit(s.callsPerTick), qt.IsTrue, qt.Commentf("%+v", r))
}

// TestGoodVersionOnStarvedNodes runs the new version only on nodes where calls that it depends on are refused, while
// most nodes of the old version are not affected. These failures must not cause a rollback.
func TestGoodVersionOnStarvedNodes(t *testing.T) {
	const starvedFailureRate = 0.15
	start := time.Now()
	preset := reducer.DefaultPreset([]string{"0"})
	analysis := roller.New(roller.Config{
		Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())},
		Preset:  preset, Now: start, Deadline: start.Add(duration)})
	var oldFailures, newFailures float64
	d := roller.Decision{}
	for now := start; now.Before(start.Add(duration)) && !d.Completed; now = now.Add(tick) {
		oldFailures += 8 * starvedFailureRate
		newFailures += 10 * starvedFailureRate
		old := &schema.Evidence{Route: "r", Version: "v1", Calls: 40, StarvedCalls: 8,
			Failures: uint64(oldFailures), StarvedFailures: uint64(oldFailures)}
		candidate := &schema.Evidence{Route: "r", Version: "v2", Calls: 10, StarvedCalls: 10,
			Failures: uint64(newFailures), StarvedFailures: uint64(newFailures)}
		oldFailures -= float64(old.Failures)
		newFailures -= float64(candidate.Failures)
		analysis.Observe([]*schema.Evidence{old, candidate}, now)
		d = analysis.Decide(now, d.Step)
		qt.Assert(t, d.RolledBack, qt.IsFalse, qt.Commentf("after %v: %s", now.Sub(start), d.Reason))
	}
	qt.Assert(t, d.Completed, qt.IsTrue)
}

// TestBadVersionAtLargerShare rolls back a version that turns bad at the first larger share.
func TestBadVersionAtLargerShare(t *testing.T) {
	s := scenario{callsPerTick: 30, oldFailureRate: constant(0.02), newFailureRate: func(_ time.Duration, share float64) float64 {
		if share > 0.2 {
			return 0.5
		}
		return 0
	}}
	r := s.run()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
	qt.Assert(t, r.newCalls < r.exposureLimit(s.callsPerTick), qt.IsTrue, qt.Commentf("%+v", r))
}

// TestGoodVersionCompletesOnTime completes the rollout of a good version at least a second before the deadline, under
// high, low and no traffic.
func TestGoodVersionCompletesOnTime(t *testing.T) {
	for _, calls := range []float64{0, 0.5, 3, 30} {
		r := scenario{callsPerTick: calls, oldFailureRate: constant(0), newFailureRate: constant(0)}.run()
		qt.Assert(t, r.decision.Completed, qt.IsTrue, qt.Commentf("%v calls: %+v", calls, r))
		qt.Assert(t, r.after < duration-time.Second, qt.IsTrue, qt.Commentf("%v calls: %+v", calls, r))
	}
}

// TestBadVersionAtFullShare rolls back, within the exposure limit, a version that turns bad once no old version is left
// to compare with. Calls in flight to the new version at the time of the decision count towards the limit.
func TestBadVersionAtFullShare(t *testing.T) {
	const ticksInFlight = 2
	for _, calls := range []float64{5, 14, 30, 110} {
		s := scenario{callsPerTick: calls, oldFailureRate: constant(0.01), newFailureRate: func(_ time.Duration, share float64) float64 {
			if share >= 1 {
				return 0.5
			}
			return 0.01
		}}
		r := s.run()
		qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
		qt.Check(t, r.newCalls+ticksInFlight*calls < r.exposureLimit(calls), qt.IsTrue,
			qt.Commentf("%v calls per tick, limit %v: %+v", calls, r.exposureLimit(calls), r))
	}
}

// TestBadVersionAtFullShareUnderOverload rolls back a version that turns bad at full share while calls that the
// upstreams depend on are refused.
func TestBadVersionAtFullShareUnderOverload(t *testing.T) {
	s := scenario{callsPerTick: 30, oldFailureRate: constant(0.05), newFailureRate: func(_ time.Duration, share float64) float64 {
		if share >= 1 {
			return 0.55
		}
		return 0.05
	}, starved: func(time.Duration) bool { return true }}
	r := s.run()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
}

// TestFailingVersionIsHeldWhileOldFails compares a bad version with an old one that fails often too, since services that it
// depends on are disturbed: the comparison alone can't tell them apart, and the bad version may not get more traffic.
func TestFailingVersionIsHeldWhileOldFails(t *testing.T) {
	s := scenario{callsPerTick: 2, oldFailureRate: constant(0.4), newFailureRate: constant(0.6)}
	r := s.run()
	qt.Assert(t, r.decision.Completed, qt.IsFalse)
	qt.Assert(t, r.newCalls < r.exposureLimit(s.callsPerTick), qt.IsTrue, qt.Commentf("%+v", r))
}

// TestGoodVersionAdvancesAfterDisturbance lets both versions fail often for a while: the good version is completed.
func TestGoodVersionAdvancesAfterDisturbance(t *testing.T) {
	disturbed := func(elapsed time.Duration, _ float64) float64 {
		if elapsed < duration/4 {
			return 0.5
		}
		return 0.02
	}
	r := scenario{callsPerTick: 30, oldFailureRate: disturbed, newFailureRate: disturbed}.run()
	qt.Assert(t, r.decision.Completed, qt.IsTrue, qt.Commentf("%+v", r))
}

// TestUrgentRolloutNeedsCalls lets the deadline come near while no calls to the new version are reported: it may not advance
// while the service gets calls, since the reports may only be missing. A service without calls has no such evidence.
func TestUrgentRolloutNeedsCalls(t *testing.T) {
	for _, test := range []struct {
		name     string
		oldCalls uint64
		want     bool
	}{{"service with calls", 20, false}, {"service without calls", 0, true}} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			analysis := roller.New(roller.Config{Preset: reducer.DefaultPreset([]string{"0"}), Now: start, Deadline: start.Add(duration),
				Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}})
			d := roller.Decision{}
			for now := start; now.Before(start.Add(duration)); now = now.Add(tick) {
				if test.oldCalls > 0 {
					analysis.Observe([]*schema.Evidence{{Route: "r", Version: "v1", Calls: test.oldCalls}}, now)
				}
				d = analysis.Decide(now, d.Step)
			}
			qt.Assert(t, d.Step > 0, qt.Equals, test.want)
		})
	}
}

// TestFewFailingCallsHoldRollout lets the new version get only a few calls on one route before the first step ends: if too
// many of them failed for a version like the old one, the rollout stays on its step. Calls that the upstreams may depend on
// are refused all the time, so that the comparison alone takes more calls.
func TestFewFailingCallsHoldRollout(t *testing.T) {
	const callsAt = 6 * time.Second
	tests := []struct {
		name            string
		calls, failures uint64
		wantHeld        bool
	}{
		{"one of one fails", 1, 1, true},
		{"one of two fails", 2, 1, true},
		{"two of three fail", 3, 2, true},
		{"none of four fails", 4, 0, false},
		{"one of ten fails", 10, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			analysis := roller.New(roller.Config{Preset: reducer.DefaultPreset([]string{"0"}), Now: start, Deadline: start.Add(duration),
				Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}})
			d := roller.Decision{}
			for elapsed := time.Duration(0); elapsed <= callsAt+2*time.Second; elapsed += tick {
				now := start.Add(elapsed)
				evidence := []*schema.Evidence{
					{Route: "busy", Version: "v1", Calls: 1}, {Route: "busy", Version: "v2", Calls: 1},
					{Route: "rare", Version: "v1", Calls: 2}}
				if elapsed == callsAt {
					evidence = append(evidence, &schema.Evidence{Route: "rare", Version: "v2", Calls: test.calls, Failures: test.failures})
				}
				for _, e := range evidence {
					e.StarvedCalls, e.StarvedFailures = e.Calls, e.Failures
				}
				analysis.Observe(evidence, now)
				d = analysis.Decide(now, d.Step)
				qt.Assert(t, d.RolledBack, qt.IsFalse, qt.Commentf("after %v: %s", elapsed, d.Reason))
			}
			qt.Assert(t, d.Step == 0, qt.Equals, test.wantHeld)
		})
	}
}

// disturbedUntil fails half of the calls until a time, then a fraction of them.
func disturbedUntil(end time.Duration, rate float64) func(time.Duration, float64) float64 {
	return func(elapsed time.Duration, _ float64) float64 {
		if elapsed < end {
			return 0.5
		}
		return rate
	}
}

// TestBadVersionIsPausedWhileOldFails lets both versions fail half of their calls for half of the time, so that the comparison
// can't tell them apart: the new version gets no more calls after a bounded number of failures, and is rolled back soon after
// it is resumed.
func TestBadVersionIsPausedWhileOldFails(t *testing.T) {
	// maxFailures is the number of failures from which a bad version must be rolled back within a set time.
	const maxFailures = 50
	s := scenario{callsPerTick: 100, oldFailureRate: disturbedUntil(duration/2, 0.02), newFailureRate: constant(0.5)}
	r := s.run()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
	qt.Assert(t, r.newFailures < maxFailures, qt.IsTrue, qt.Commentf("%+v", r))
}

// TestGoodVersionIsResumed lets both versions fail half of their calls for a while: the good version is paused and then
// completed.
func TestGoodVersionIsResumed(t *testing.T) {
	disturbed := disturbedUntil(duration/3, 0.02)
	r := scenario{callsPerTick: 100, oldFailureRate: disturbed, newFailureRate: disturbed}.run()
	qt.Assert(t, r.decision.Completed, qt.IsTrue, qt.Commentf("%+v", r))
	qt.Assert(t, r.pauses, qt.Equals, uint32(2))
}

// lastStep runs an analysis with the evidence of each tick until a time, and returns the step that it reached.
func lastStep(t *testing.T, until time.Duration, evidence func(elapsed time.Duration) []*schema.Evidence) int {
	t.Helper()
	start := time.Now()
	analysis := roller.New(roller.Config{Preset: reducer.DefaultPreset([]string{"0"}), Now: start, Deadline: start.Add(duration),
		Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}})
	d := roller.Decision{}
	for elapsed := time.Duration(0); elapsed <= until; elapsed += tick {
		now := start.Add(elapsed)
		analysis.Observe(evidence(elapsed), now)
		d = analysis.Decide(now, d.Step)
		qt.Assert(t, d.RolledBack, qt.IsFalse, qt.Commentf("after %v: %s", elapsed, d.Reason))
	}
	return d.Step
}

// TestUnscoredCallsAdvanceNothing reports all calls to the new version at once, as after a cut has ended: they do not count
// for the step until they have been compared with the old version's.
func TestUnscoredCallsAdvanceNothing(t *testing.T) {
	const reportedAt = duration * 2 / 3
	step := lastStep(t, reportedAt, func(elapsed time.Duration) []*schema.Evidence {
		evidence := []*schema.Evidence{{Route: "r", Version: "v1", Calls: 20}}
		if elapsed == reportedAt {
			evidence = append(evidence, &schema.Evidence{Route: "r", Version: "v2", Calls: 20, Failures: 10})
		}
		return evidence
	})
	qt.Assert(t, step, qt.Equals, 0)
}

// TestNoAdvanceWithoutOldVersion reports calls to the new version only, as to a controller that few nodes reach: without the
// old version's evidence there is nothing to compare with.
func TestNoAdvanceWithoutOldVersion(t *testing.T) {
	step := lastStep(t, duration, func(time.Duration) []*schema.Evidence {
		return []*schema.Evidence{{Route: "r", Version: "v2", Calls: 5}}
	})
	qt.Assert(t, step, qt.Equals, 0)
}

// TestBadVersionIsFoundAfterDisturbance lets the old version fail often for most of the time, and the new one get few calls: once
// the old version has recovered, its earlier failures must not excuse those of the new one.
func TestBadVersionIsFoundAfterDisturbance(t *testing.T) {
	const (
		recovery = duration / 2
		// maxFailures is the number of failures after the recovery that a comparison with a sound old version may take.
		maxFailures = 6
	)
	start := time.Now()
	analysis := roller.New(roller.Config{Preset: reducer.DefaultPreset([]string{"0"}), Now: start, Deadline: start.Add(duration),
		Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}})
	d := roller.Decision{}
	failures := uint64(0)
	for elapsed := time.Duration(0); elapsed <= duration && !d.RolledBack; elapsed += tick {
		now := start.Add(elapsed)
		before := &schema.Evidence{Route: "r", Version: "v1", Calls: 20}
		after := &schema.Evidence{Route: "r", Version: "v2", Calls: 1}
		switch {
		case elapsed < recovery:
			before.Failures = 8
		case elapsed >= recovery+3*time.Second && (elapsed/tick)%2 == 0:
			after.Failures = 1
			failures++
		}
		analysis.Observe([]*schema.Evidence{before, after}, now)
		d = analysis.Decide(now, d.Step)
	}
	qt.Assert(t, d.RolledBack, qt.IsTrue)
	qt.Assert(t, failures <= maxFailures, qt.IsTrue, qt.Commentf("%d failures", failures))
}

// TestLateRolloutIsNotHurried holds a rollout until its deadline can't be met any more: its steps are then as long as usual.
func TestLateRolloutIsNotHurried(t *testing.T) {
	const recovery = duration - 4*time.Second
	preset := reducer.DefaultPreset([]string{"0"})
	interval := time.Duration(preset.StepIntervalMs) * time.Millisecond
	evidence := func(elapsed time.Duration) []*schema.Evidence {
		old := &schema.Evidence{Route: "r", Version: "v1", Calls: 20}
		if elapsed < recovery {
			old.Failures = 10
		}
		return []*schema.Evidence{old, {Route: "r", Version: "v2", Calls: 5}}
	}
	first := recovery
	for lastStep(t, first, evidence) == 0 {
		first += tick
	}
	qt.Assert(t, first > duration-3*time.Second, qt.IsTrue, qt.Commentf("first step ends after %v", first))
	qt.Assert(t, lastStep(t, first+interval-tick, evidence), qt.Equals, 1)
	qt.Assert(t, lastStep(t, first+interval+3*tick, evidence) > 1, qt.IsTrue)
}

// TestFailingRareRouteKeepsNothingPaused lets the old version always fail on a route with few calls: a rollout that was paused
// during a disturbance of the main route is resumed after it.
func TestFailingRareRouteKeepsNothingPaused(t *testing.T) {
	const recovery = duration / 3
	start := time.Now()
	analysis := roller.New(roller.Config{Preset: reducer.DefaultPreset([]string{"0"}), Now: start, Deadline: start.Add(duration),
		Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}})
	d := roller.Decision{}
	for elapsed := time.Duration(0); elapsed <= duration; elapsed += tick {
		now := start.Add(elapsed)
		main := &schema.Evidence{Route: "main", Version: "v1", Calls: 50}
		candidate := &schema.Evidence{Route: "main", Version: "v2", Calls: 4}
		if elapsed < recovery {
			main.Failures, candidate.Failures = 25, 2
		}
		evidence := []*schema.Evidence{main, {Route: "rare", Version: "v1", Calls: 1, Failures: 1}}
		if !roller.IsPaused(d.Pauses) {
			evidence = append(evidence, candidate)
		}
		analysis.Observe(evidence, now)
		d = analysis.Decide(now, d.Step)
		analysis.SetPauses(d.Pauses, now)
		qt.Assert(t, d.RolledBack, qt.IsFalse, qt.Commentf("after %v: %s", elapsed, d.Reason))
	}
	qt.Assert(t, d.Pauses, qt.Equals, uint32(2))
	qt.Assert(t, d.Step > 0, qt.IsTrue)
}

// TestStepWaitsForCallsOnMainRoutes lets the new version get many calls on one route and none on another: the first step lasts
// longer if that is a main route of the service, but not without end.
func TestStepWaitsForCallsOnMainRoutes(t *testing.T) {
	preset := reducer.DefaultPreset([]string{"0"})
	firstStepEnd := time.Duration(preset.FirstStepPart * float64(duration))
	tests := []struct {
		name     string
		oldCalls uint64
		after    time.Duration
		want     int
	}{
		{"main route", 5, time.Second, 0},
		{"main route, later", 5, 2 * time.Second, 1},
		{"rare route", 1, time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			step := lastStep(t, firstStepEnd+test.after, func(time.Duration) []*schema.Evidence {
				return []*schema.Evidence{{Route: "busy", Version: "v1", Calls: 30}, {Route: "busy", Version: "v2", Calls: 2},
					{Route: "other", Version: "v1", Calls: test.oldCalls}}
			})
			qt.Assert(t, step, qt.Equals, test.want)
		})
	}
}

// TestFailingRareRouteHoldsNothing lets both versions always fail on a route with few calls: the good version is completed.
func TestFailingRareRouteHoldsNothing(t *testing.T) {
	start := time.Now()
	preset := reducer.DefaultPreset([]string{"0"})
	analysis := roller.New(roller.Config{Preset: preset, Now: start, Deadline: start.Add(duration),
		Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}})
	d := roller.Decision{}
	// due carries the fraction of a call into the next tick, by route and version.
	due := map[string]float64{}
	for elapsed := time.Duration(0); elapsed <= duration && !d.Completed; elapsed += tick {
		now := start.Add(elapsed)
		for route, calls := range map[string]float64{"main": 30, "rare": 0.5} {
			share := roller.ShareAt(preset, d.Step)
			for version, part := range map[string]float64{"v1": 1 - share, "v2": share} {
				key := route + version
				due[key] += part * calls
				e := &schema.Evidence{Route: route, Version: version, Calls: uint64(due[key])}
				due[key] -= float64(e.Calls)
				if route == "rare" {
					e.Failures = e.Calls
				}
				analysis.Observe([]*schema.Evidence{e}, now)
			}
		}
		d = analysis.Decide(now, d.Step)
		qt.Assert(t, d.RolledBack, qt.IsFalse, qt.Commentf("after %v: %s", elapsed, d.Reason))
	}
	qt.Assert(t, d.Completed, qt.IsTrue)
}
