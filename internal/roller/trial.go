// Package roller decides whether a rollout advances, completes or is rolled back. It is the pure part of a rollout
// controller: it does no I/O, and time is a parameter.
//
// A Trial compares the new version with the old one on each route over the same period, by cumulative sums of
// log-likelihood ratios (Page's CUSUM test).
package roller

import (
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// evaluationDelay is how long the new version's evidence waits for that of the old one from the same time.
const evaluationDelay = 400 * time.Millisecond

// maxStarvedFailureRate is the highest failure rate of a good version while calls that it depends on are refused.
const maxStarvedFailureRate = 0.4

// A call is slow if its latency is more than twice the old version's slowQuantile. Routes with fewer than
// minBaselineCalls calls to the old version are not compared.
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
	// Step is the step already reached, as the index into Shares.
	Step int
	// Deadline is when all traffic must have moved. The zero value stands for the rollout's own deadline.
	Deadline time.Time
}

// Trial is the state of one open rollout at its controller. It is not safe for concurrent use.
type Trial struct {
	config  Config
	service baseline
	routes  map[string]*routeComparison
	// pending holds the new version's evidence, oldest first, until evaluationDelay has passed.
	pending []pendingEvidence
	step    int
	// stepSince is when the step was reached; stepCalls counts calls to the new version since then.
	stepSince time.Time
	stepCalls uint64
	decayedAt time.Time
	// reason is why the rollout is rolled back, or empty.
	reason string
}

// pendingEvidence is evidence of the new version and the time at which it was received.
type pendingEvidence struct {
	at       time.Time
	evidence *schema.Evidence
}

// routeComparison compares the versions on one route.
type routeComparison struct {
	baseline baseline

	failureScore      cusum
	grossFailureScore cusum
	rejectionScore    cusum
	latencyScore      cusum

	newCalls    uint64
	newFailures uint64
}

// New returns a Trial of a rollout at the step of its Config.
func New(c Config) *Trial {
	if c.Deadline.IsZero() {
		c.Deadline = time.UnixMilli(c.Rollout.DeadlineUnixMs)
	}
	return &Trial{config: c, routes: map[string]*routeComparison{}, step: c.Step, stepSince: c.Now, decayedAt: c.Now}
}

// Deadline returns the time by which all traffic must have moved.
func (t *Trial) Deadline() time.Time { return t.config.Deadline }

// Rollout returns the rollout that the trial decides on.
func (t *Trial) Rollout() *schema.Rollout { return t.config.Rollout }

// Observe records evidence reported by one node. Every version but the rollout's new one counts as the old version.
func (t *Trial) Observe(evidence []*schema.Evidence, now time.Time) {
	for _, e := range evidence {
		switch e.Version {
		case t.config.Rollout.To:
			t.stepCalls += e.Calls
			t.pending = append(t.pending, pendingEvidence{at: now, evidence: e})
		default:
			t.service.add(e)
			t.route(e.Route).baseline.add(e)
		}
	}
}

func (t *Trial) route(name string) *routeComparison {
	r, ok := t.routes[name]
	if !ok {
		r = &routeComparison{}
		t.routes[name] = r
	}
	return r
}

// evaluatePending scores the pending evidence that is due.
func (t *Trial) evaluatePending(now time.Time) {
	for len(t.pending) > 0 && t.isDue(t.pending[0], now) {
		e := t.pending[0].evidence
		t.pending = t.pending[1:]
		r := t.route(e.Route)
		r.addNew(e, t.countedFailures(e), &t.service)
		t.evaluate(e.Route, r)
	}
}

// isDue reports whether evidence can be scored. Once the new version receives all traffic, there is no evidence of the
// old one from the same time to wait for.
func (t *Trial) isDue(p pendingEvidence, now time.Time) bool {
	if t.step >= LastStep(t.config.Preset) && !p.at.Before(t.stepSince) {
		return true
	}
	return now.Sub(p.at) >= evaluationDelay
}

// countedFailures returns the failures that count against the new version. Once it receives all traffic, the old one no
// longer shows how other services affect both, so starved failures up to maxStarvedFailureRate are left out.
func (t *Trial) countedFailures(e *schema.Evidence) uint64 {
	if t.step < LastStep(t.config.Preset) {
		return e.Failures
	}
	discounted := min(e.StarvedFailures, uint64(maxStarvedFailureRate*float64(e.StarvedCalls)+0.5))
	return e.Failures - min(discounted, e.Failures)
}

// addNew scores evidence of the new version, with the number of its failures that count.
func (r *routeComparison) addNew(e *schema.Evidence, failed uint64, service *baseline) {
	r.newCalls += e.Calls
	r.newFailures += failed
	calls := float64(e.Calls)
	oldRate := r.baseline.failureRate(e, service, failures.floor)
	r.failureScore.add(failures, float64(failed), calls, oldRate)
	r.grossFailureScore.add(grossFailures, float64(failed), calls, oldRate)
	oldRate = r.baseline.rate(rejectionEvents, service, rejections.floor)
	r.rejectionScore.add(rejections, float64(e.Rejections), calls, oldRate)
	r.addLatencies(e)
}

// addLatencies scores latencies against the same route of the old version only, since routes differ in latency.
func (r *routeComparison) addLatencies(e *schema.Evidence) {
	if r.baseline.longTerm.latencies.total() < minBaselineCalls {
		return
	}
	limit := r.baseline.longTerm.latencies.quantile(slowQuantile) + slowFactorBuckets
	var latencies histogram
	latencies.add(e.LatencyBuckets)
	oldRate := r.baseline.rate(slowEvents(limit), &r.baseline, slowness.floor)
	r.latencyScore.add(slowness, latencies.above(limit), latencies.total(), oldRate)
}

// evaluate sets the reason for a rollback once a metric of the route reaches the threshold. The first reason is kept.
func (t *Trial) evaluate(route string, r *routeComparison) {
	if t.reason != "" {
		return
	}
	name, score := r.worstMetric()
	if score < t.config.Preset.RollbackThreshold {
		return
	}
	t.reason = fmt.Sprintf("route %s: %s of %s above that of %s (%d calls, %d failures, score %.1f)",
		route, name, t.config.Rollout.To, t.config.Rollout.From, r.newCalls, r.newFailures, score)
}

// worstMetric returns the metric with the highest score above its margin.
func (r *routeComparison) worstMetric() (name string, score float64) {
	name, score = failures.name, max(r.failureScore.excess(), r.grossFailureScore.excess())
	if e := r.rejectionScore.excess(); e > score {
		name, score = rejections.name, e
	}
	if e := r.latencyScore.excess(); e > score {
		name, score = slowness.name, e
	}
	return name, score
}

// maxScore returns the highest score of all routes.
func (t *Trial) maxScore() float64 {
	var highest float64
	for _, r := range t.routes {
		_, score := r.worstMetric()
		highest = max(highest, score)
	}
	return highest
}

// decay applies the time since the last call to the old version's counts, as long as it receives traffic.
func (t *Trial) decay(now time.Time) {
	elapsed := now.Sub(t.decayedAt)
	t.decayedAt = now
	frozen := t.step >= LastStep(t.config.Preset)
	for _, r := range t.routes {
		r.baseline.frozen = frozen
		if !frozen {
			r.baseline.decay(elapsed)
		}
	}
	if !frozen {
		t.service.decay(elapsed)
	}
}
