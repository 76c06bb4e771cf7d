// Package roller decides how a rollout goes on: the pure part of a rollout controller.
//
// A Trial compares the new version with the old one on each route at the same time, by
// cumulative sums of log-likelihood ratios (Page's CUSUM test). Time is a parameter.
package roller

import (
	"fmt"
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// baselineHalfLife is the time in which the old version's counts lose half of their weight.
const baselineHalfLife = 20 * time.Second

// Latency beyond slowFactor times the old version's slowQuantile counts as slow.
const (
	slowQuantile      = 0.9
	slowFactorBuckets = 2 * bucketsPerDoubling
	minBaselineCalls  = 10
)

// Config builds a Trial.
type Config struct {
	Rollout *schema.Rollout
	Preset  *schema.Preset
	Now     time.Time
	// Step is the step already reached.
	Step int
}

// Trial is the state of one open rollout at its controller.
type Trial struct {
	config Config
	routes map[string]*routeTrial
	step   int
	// stepSince is when the step was reached; stepCalls counts calls to the new version since then.
	stepSince time.Time
	stepCalls uint64
	decayedAt time.Time
	reason    string
}

// routeTrial compares the versions on one route.
type routeTrial struct {
	// Decayed counts of the old version. They stay as they are once it takes no traffic.
	calls      float64
	failures   float64
	rejections float64
	latencies  histogram

	failed      cusum
	grossFailed cusum
	rejected    cusum
	slowed      cusum

	newCalls    uint64
	newFailures uint64
}

// New returns a Trial.
func New(c Config) *Trial {
	return &Trial{config: c, routes: map[string]*routeTrial{}, step: c.Step, stepSince: c.Now, decayedAt: c.Now}
}

// Rollout returns the rollout on trial.
func (t *Trial) Rollout() *schema.Rollout { return t.config.Rollout }

// Observe takes in evidence from one node.
func (t *Trial) Observe(evidence []*schema.Evidence) {
	for _, e := range evidence {
		r, ok := t.routes[e.Route]
		if !ok {
			r = &routeTrial{}
			t.routes[e.Route] = r
		}
		switch e.Version {
		case t.config.Rollout.From:
			r.addOld(e)
		case t.config.Rollout.To:
			t.stepCalls += e.Calls
			r.addNew(e)
			t.judge(e.Route, r)
		}
	}
}

func (r *routeTrial) addOld(e *schema.Evidence) {
	r.calls += float64(e.Calls)
	r.failures += float64(e.Failures)
	r.rejections += float64(e.Rejections)
	r.latencies.add(e.LatencyBuckets)
}

func (r *routeTrial) addNew(e *schema.Evidence) {
	r.newCalls += e.Calls
	r.newFailures += e.Failures
	calls := float64(e.Calls)
	good, bad := failures.rates(r.failures, r.calls)
	r.failed.add(float64(e.Failures), calls, good, bad)
	good, bad = grossFailures.rates(r.failures, r.calls)
	r.grossFailed.add(float64(e.Failures), calls, good, bad)
	good, bad = rejections.rates(r.rejections, r.calls)
	r.rejected.add(float64(e.Rejections), calls, good, bad)
	r.addLatencies(e)
}

func (r *routeTrial) addLatencies(e *schema.Evidence) {
	total := r.latencies.total()
	if total < minBaselineCalls {
		return
	}
	limit := r.latencies.quantile(slowQuantile) + slowFactorBuckets
	good, bad := slowness.rates(r.latencies.above(limit), total)
	var fresh histogram
	fresh.add(e.LatencyBuckets)
	r.slowed.add(fresh.above(limit), fresh.total(), good, bad)
}

// judge notes the first measure that passes the threshold.
func (t *Trial) judge(route string, r *routeTrial) {
	if t.reason != "" {
		return
	}
	name, score := r.worst()
	if score < t.config.Preset.RollbackThreshold {
		return
	}
	t.reason = fmt.Sprintf("route %s: %s of %s above that of %s (%d calls, %d failures, score %.1f)",
		route, name, t.config.Rollout.To, t.config.Rollout.From, r.newCalls, r.newFailures, score)
}

func (r *routeTrial) worst() (name string, score float64) {
	name, score = failures.name, max(r.failed.score, r.grossFailed.score)
	if r.rejected.score > score {
		name, score = rejections.name, r.rejected.score
	}
	if r.slowed.score > score {
		name, score = slowness.name, r.slowed.score
	}
	return name, score
}

// suspicion returns the highest score of all routes.
func (t *Trial) suspicion() float64 {
	var highest float64
	for _, r := range t.routes {
		_, score := r.worst()
		highest = max(highest, score)
	}
	return highest
}

// decay lets the old version's counts fade while it takes traffic.
func (t *Trial) decay(now time.Time) {
	elapsed := now.Sub(t.decayedAt)
	if elapsed < time.Second {
		return
	}
	t.decayedAt = now
	if t.step >= LastStep(t.config.Preset) {
		return
	}
	factor := math.Pow(0.5, float64(elapsed)/float64(baselineHalfLife))
	for _, r := range t.routes {
		r.calls *= factor
		r.failures *= factor
		r.rejections *= factor
		r.latencies.decay(factor)
	}
}
