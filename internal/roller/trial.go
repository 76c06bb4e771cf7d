// Package roller decides how a rollout goes on: the pure part of a rollout controller.
//
// A Trial compares the new version with the old one on each route at the same time, by
// cumulative sums of log-likelihood ratios (Page's CUSUM test). Time is a parameter.
package roller

import (
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// judgeDelay holds the new version's evidence back until that of the old one from the same time has come.
const judgeDelay = 400 * time.Millisecond

// maxStarvedRate is the part of its calls that a good version fails at most while calls that it depends on are turned away.
const maxStarvedRate = 0.4

// Latency beyond twice the old version's slowQuantile counts as slow.
const (
	slowQuantile      = 0.9
	slowFactorBuckets = bucketsPerDoubling
	minBaselineCalls  = 10
)

// Config builds a Trial.
type Config struct {
	Rollout *schema.Rollout
	Preset  *schema.Preset
	Now     time.Time
	// Step is the step already reached.
	Step int
	// Deadline is when all traffic must have moved.
	Deadline time.Time
}

// Trial is the state of one open rollout at its controller.
type Trial struct {
	config  Config
	service baseline
	routes  map[string]*routeTrial
	// pending holds the new version's evidence, oldest first, until judgeDelay has passed.
	pending []pendingEvidence
	step    int
	// stepSince is when the step was reached; stepCalls counts calls to the new version since then.
	stepSince time.Time
	stepCalls uint64
	decayedAt time.Time
	reason    string
}

type pendingEvidence struct {
	at       time.Time
	evidence *schema.Evidence
}

// routeTrial compares the versions on one route.
type routeTrial struct {
	old baseline

	failed      cusum
	grossFailed cusum
	rejected    cusum
	slowed      cusum

	newCalls    uint64
	newFailures uint64
}

// New returns a Trial.
func New(c Config) *Trial {
	if c.Deadline.IsZero() {
		c.Deadline = time.UnixMilli(c.Rollout.DeadlineUnixMs)
	}
	return &Trial{config: c, routes: map[string]*routeTrial{}, step: c.Step, stepSince: c.Now, decayedAt: c.Now}
}

// Deadline returns when all traffic must have moved.
func (t *Trial) Deadline() time.Time { return t.config.Deadline }

// Rollout returns the rollout on trial.
func (t *Trial) Rollout() *schema.Rollout { return t.config.Rollout }

// Observe takes in evidence from one node.
func (t *Trial) Observe(evidence []*schema.Evidence, now time.Time) {
	for _, e := range evidence {
		switch e.Version {
		case t.config.Rollout.To:
			t.stepCalls += e.Calls
			t.pending = append(t.pending, pendingEvidence{at: now, evidence: e})
		default:
			t.service.add(e)
			t.route(e.Route).old.add(e)
		}
	}
}

func (t *Trial) route(name string) *routeTrial {
	r, ok := t.routes[name]
	if !ok {
		r = &routeTrial{}
		t.routes[name] = r
	}
	return r
}

// judgePending judges the evidence that has been held back long enough.
func (t *Trial) judgePending(now time.Time) {
	for len(t.pending) > 0 && t.isDue(t.pending[0], now) {
		e := t.pending[0].evidence
		t.pending = t.pending[1:]
		r := t.route(e.Route)
		r.addNew(e, t.blamed(e), &t.service)
		t.judge(e.Route, r)
	}
}

// isDue tells whether evidence can be judged. Once the new version takes all traffic no evidence of the old one
// from the same time will come.
func (t *Trial) isDue(p pendingEvidence, now time.Time) bool {
	if t.step >= LastStep(t.config.Preset) && !p.at.Before(t.stepSince) {
		return true
	}
	return now.Sub(p.at) >= judgeDelay
}

// blamed returns the failures that count against the new version. Once it takes all traffic there is no old one
// to compare with at the same time, so that failures for want of other services are left out, as far as a good version
// may have them.
func (t *Trial) blamed(e *schema.Evidence) uint64 {
	if t.step < LastStep(t.config.Preset) {
		return e.Failures
	}
	excused := min(e.StarvedFailures, uint64(maxStarvedRate*float64(e.StarvedCalls)+0.5))
	return e.Failures - min(excused, e.Failures)
}

func (r *routeTrial) addNew(e *schema.Evidence, failed uint64, service *baseline) {
	r.newCalls += e.Calls
	r.newFailures += failed
	calls := float64(e.Calls)
	old := r.old.failureRate(e, service, failures.floor)
	r.failed.add(failures, float64(failed), calls, old)
	r.grossFailed.add(grossFailures, float64(failed), calls, old)
	old = r.old.rate(rejectionEvents, service, rejections.floor)
	r.rejected.add(rejections, float64(e.Rejections), calls, old)
	r.addLatencies(e)
}

// addLatencies compares with the same route only: routes differ in latency by nature.
func (r *routeTrial) addLatencies(e *schema.Evidence) {
	if r.old.slow.latencies.total() < minBaselineCalls {
		return
	}
	limit := r.old.slow.latencies.quantile(slowQuantile) + slowFactorBuckets
	var fresh histogram
	fresh.add(e.LatencyBuckets)
	old := r.old.rate(slowEvents(limit), &r.old, slowness.floor)
	r.slowed.add(slowness, fresh.above(limit), fresh.total(), old)
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
	name, score = failures.name, max(r.failed.excess(), r.grossFailed.excess())
	if e := r.rejected.excess(); e > score {
		name, score = rejections.name, e
	}
	if e := r.slowed.excess(); e > score {
		name, score = slowness.name, e
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
	t.decayedAt = now
	frozen := t.step >= LastStep(t.config.Preset)
	for _, r := range t.routes {
		r.old.frozen = frozen
		if !frozen {
			r.old.decay(elapsed)
		}
	}
	if !frozen {
		t.service.decay(elapsed)
	}
}
