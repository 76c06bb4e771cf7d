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

// scenario plays a rollout in virtual time: calls per tick are divided by share, and a part of them fails.
type scenario struct {
	callsPerTick float64
	// oldFails and newFails give the failing part of each version's calls after some time and at some share.
	oldFails, newFails func(elapsed time.Duration, share float64) float64
	// starved tells whether the failures come while calls that the upstream depends on are turned away.
	starved func(elapsed time.Duration) bool
}

// result is how a rollout ended.
type result struct {
	decision roller.Decision
	after    time.Duration
	// newShare is the part of all calls until the deadline that the new version got.
	newCalls, calls float64
}

func (s scenario) play() result {
	start := time.Now()
	rollout := &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())}
	preset := reducer.DefaultPreset([]string{"0"})
	trial := roller.New(roller.Config{Rollout: rollout, Preset: preset, Now: start, Deadline: start.Add(duration)})
	step := 0
	var r result
	var newDue float64
	for elapsed := time.Duration(0); elapsed <= duration; elapsed += tick {
		now := start.Add(elapsed)
		share := roller.ShareAt(preset, step)
		newDue += s.callsPerTick * share
		newCalls := float64(int(newDue))
		newDue -= newCalls
		r.newCalls += newCalls
		r.calls += s.callsPerTick
		trial.Observe([]*schema.Evidence{s.evidence("v1", s.callsPerTick-newCalls, s.oldFails(elapsed, share), elapsed),
			s.evidence("v2", newCalls, s.newFails(elapsed, share), elapsed)}, now)
		d := trial.Decide(now, step)
		if d.RolledBack || d.Completed {
			r.decision, r.after = d, elapsed
			return r
		}
		step = d.Step
	}
	return r
}

func (s scenario) evidence(version string, calls, failing float64, elapsed time.Duration) *schema.Evidence {
	e := &schema.Evidence{Route: "r", Version: version, Calls: uint64(calls), Failures: uint64(calls*failing + 0.5)}
	if s.starved != nil && s.starved(elapsed) {
		e.StarvedCalls, e.StarvedFailures = e.Calls, e.Failures
	}
	return e
}

func constant(part float64) func(time.Duration, float64) float64 {
	return func(time.Duration, float64) float64 { return part }
}

// exposureAllowed is what a bad version may get: a tenth of all calls and 50.
func (r result) exposureAllowed(callsPerTick float64) float64 {
	return 0.1*callsPerTick*float64(duration/tick) + 50
}

// TestGoodVersionUnderOverload moves a good version to all traffic while both fail for want of another service:
// at full share there is no old version left to compare with.
func TestGoodVersionUnderOverload(t *testing.T) {
	overload := func(elapsed time.Duration, _ float64) float64 {
		if elapsed > 9*time.Second {
			return 0.35
		}
		return 0.02
	}
	s := scenario{callsPerTick: 30, oldFails: overload, newFails: overload, starved: func(time.Duration) bool { return true }}
	r := s.play()
	qt.Assert(t, r.decision.Completed, qt.IsTrue, qt.Commentf("%+v", r))
}

// TestBadVersionUnderOverload hides a bad version behind an old one that fails often: it is found within the allowance.
func TestBadVersionUnderOverload(t *testing.T) {
	s := scenario{callsPerTick: 30, oldFails: constant(0.2), newFails: constant(0.55), starved: func(time.Duration) bool { return true }}
	r := s.play()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
	qt.Assert(t, r.newCalls < r.exposureAllowed(s.callsPerTick), qt.IsTrue, qt.Commentf("%+v", r))
}

// TestGoodVersionBesideStarvedNodes gives the new version a few nodes in a part of the mesh where the calls that it
// depends on are turned away, while most nodes of the old version are well off: it is not blamed.
func TestGoodVersionBesideStarvedNodes(t *testing.T) {
	const starvedFailing = 0.15
	start := time.Now()
	preset := reducer.DefaultPreset([]string{"0"})
	trial := roller.New(roller.Config{Rollout: &schema.Rollout{Name: "s", Service: "s", To: "v2", DurationMs: uint32(duration.Milliseconds())},
		Preset: preset, Now: start, Deadline: start.Add(duration)})
	var oldFailures, newFailures float64
	d := roller.Decision{}
	for now := start; now.Before(start.Add(duration)) && !d.Completed; now = now.Add(tick) {
		oldFailures += 8 * starvedFailing
		newFailures += 10 * starvedFailing
		old := &schema.Evidence{Route: "r", Version: "v1", Calls: 40, StarvedCalls: 8, Failures: uint64(oldFailures), StarvedFailures: uint64(oldFailures)}
		fresh := &schema.Evidence{Route: "r", Version: "v2", Calls: 10, StarvedCalls: 10, Failures: uint64(newFailures), StarvedFailures: uint64(newFailures)}
		oldFailures -= float64(old.Failures)
		newFailures -= float64(fresh.Failures)
		trial.Observe([]*schema.Evidence{old, fresh}, now)
		d = trial.Decide(now, d.Step)
		qt.Assert(t, d.RolledBack, qt.IsFalse, qt.Commentf("after %v: %s", now.Sub(start), d.Reason))
	}
	qt.Assert(t, d.Completed, qt.IsTrue)
}

// TestBadUnderLoad turns bad with the first larger share.
func TestBadUnderLoad(t *testing.T) {
	s := scenario{callsPerTick: 30, oldFails: constant(0.02), newFails: func(_ time.Duration, share float64) float64 {
		if share > 0.2 {
			return 0.5
		}
		return 0
	}}
	r := s.play()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
	qt.Assert(t, r.newCalls < r.exposureAllowed(s.callsPerTick), qt.IsTrue, qt.Commentf("%+v", r))
}

// TestGoodVersionCompletesOnTime moves good versions under much and little traffic, and under none at all.
func TestGoodVersionCompletesOnTime(t *testing.T) {
	for _, calls := range []float64{0, 0.5, 3, 30} {
		r := scenario{callsPerTick: calls, oldFails: constant(0), newFails: constant(0)}.play()
		qt.Assert(t, r.decision.Completed, qt.IsTrue, qt.Commentf("%v calls: %+v", calls, r))
		qt.Assert(t, r.after < duration-time.Second, qt.IsTrue, qt.Commentf("%v calls: %+v", calls, r))
	}
}

// TestBadAtFullShare turns bad once no old version is left to compare with: it is found within the allowance. What the
// new version has been given when the decision comes, and has not answered, counts too.
func TestBadAtFullShare(t *testing.T) {
	const ticksToAnswer = 2
	for _, calls := range []float64{5, 14, 30, 110} {
		s := scenario{callsPerTick: calls, oldFails: constant(0.01), newFails: func(_ time.Duration, share float64) float64 {
			if share >= 1 {
				return 0.5
			}
			return 0.01
		}}
		r := s.play()
		qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
		qt.Check(t, r.newCalls+ticksToAnswer*calls < r.exposureAllowed(calls), qt.IsTrue, qt.Commentf("%v calls a tick, %v allowed: %+v", calls, r.exposureAllowed(calls), r))
	}
}

// TestBadAtFullShareUnderOverload turns bad at full share while calls that the upstreams depend on are turned away.
func TestBadAtFullShareUnderOverload(t *testing.T) {
	s := scenario{callsPerTick: 30, oldFails: constant(0.05), newFails: func(_ time.Duration, share float64) float64 {
		if share >= 1 {
			return 0.55
		}
		return 0.05
	}, starved: func(time.Duration) bool { return true }}
	r := s.play()
	qt.Assert(t, r.decision.RolledBack, qt.IsTrue, qt.Commentf("%+v", r))
}
