// Package roller decides whether a rollout advances, completes or is rolled back. It is the pure part of a rollout
// controller: it does no I/O, and time is a parameter.
//
// An Analysis compares the new version with the old one on each route over the same period, by cumulative sums of
// log-likelihood ratios (Page's CUSUM test).
package roller

import (
	"fmt"
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// evaluationDelay is how long the new version's evidence waits for that of the old one from the same time.
const evaluationDelay = 400 * time.Millisecond

// maxStarvedFailureRate is the highest failure rate of a good version while calls that it depends on are refused.
const maxStarvedFailureRate = 0.4

const (
	// holdHalfLife is the half-life of the new version's counts that hold the rollout, and minHoldCalls the decayed
	// number of calls to a version on a route from which its failures do.
	holdHalfLife = 5 * time.Second
	minHoldCalls = 3
	// holdFailureRate is the failure rate of either version on a route above which the rollout is held: the service is
	// disturbed, and the difference between the versions is too small to be found before a bad one has got too much.
	holdFailureRate = 0.25
	// minMainShare is the lowest share of the service's calls of a main route. Failure rates on other routes do not hold the
	// rollout, since a rare route may always fail.
	minMainShare = 0.1
	// holdHeavyFailures is the log-likelihood ratio of heavyFailures for the new version's recent calls on a route from
	// which the rollout is held.
	holdHeavyFailures = 1
)

// A call is slow if its latency is more than twice the old version's slowQuantile. Routes with fewer than
// minBaselineCalls calls to the old version are not compared.
const (
	slowQuantile      = 0.9
	slowFactorBuckets = bucketsPerDoubling
	minBaselineCalls  = 10
)

// Config builds an Analysis.
type Config struct {
	Rollout *schema.Rollout
	Preset  *schema.Preset
	Now     time.Time
	// Step is the step already reached, as the index into Shares.
	Step int
	// Deadline is when all traffic must have moved. The zero value stands for the rollout's own deadline.
	Deadline time.Time
}

// Analysis is what a controller knows of one open rollout and decides from. It is not safe for concurrent use.
type Analysis struct {
	config  Config
	service baseline
	routes  map[string]*routeComparison
	// pending holds the new version's evidence, oldest first, until evaluationDelay has passed.
	pending []pendingEvidence
	step    int
	// stepSince is when the step was reached; stepCalls counts the scored calls to the new version since then.
	stepSince time.Time
	stepCalls uint64
	// held is set while the rollout is held since a version fails too often; heldFailures counts the new version's failures
	// in that time since the step was reached.
	held         bool
	heldFailures uint64
	// pauses counts pauses and resumptions; see IsPaused. pausesSince is when it was set.
	pauses      uint32
	pausesSince time.Time
	decayedAt   time.Time
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
	// recent counts the calls to the new version, decayed with holdHalfLife.
	recent counts
}

// New returns an Analysis of a rollout at the step of its Config.
func New(c Config) *Analysis {
	if c.Deadline.IsZero() {
		c.Deadline = time.UnixMilli(c.Rollout.DeadlineUnixMs)
	}
	return &Analysis{config: c, routes: map[string]*routeComparison{}, step: c.Step, stepSince: c.Now, decayedAt: c.Now}
}

// Deadline returns the time by which all traffic must have moved.
func (a *Analysis) Deadline() time.Time { return a.config.Deadline }

// Rollout returns the rollout that is analysed.
func (a *Analysis) Rollout() *schema.Rollout { return a.config.Rollout }

// SetRollout replaces the rollout by the same order at another position of the log. The evidence is kept.
func (a *Analysis) SetRollout(r *schema.Rollout) { a.config.Rollout = r }

// Observe records evidence reported by one node. Every version but the rollout's new one counts as the old version.
func (a *Analysis) Observe(evidence []*schema.Evidence, now time.Time) {
	for _, e := range evidence {
		switch e.Version {
		case a.config.Rollout.To:
			if a.held {
				a.heldFailures += e.Failures
			}
			a.pending = append(a.pending, pendingEvidence{at: now, evidence: e})
		default:
			a.service.add(e)
			a.route(e.Route).baseline.add(e)
		}
	}
}

func (a *Analysis) route(name string) *routeComparison {
	r, ok := a.routes[name]
	if !ok {
		r = &routeComparison{}
		a.routes[name] = r
	}
	return r
}

// evaluatePending scores the pending evidence that is due.
func (a *Analysis) evaluatePending(now time.Time) {
	for len(a.pending) > 0 && a.isDue(a.pending[0], now) {
		e := a.pending[0].evidence
		if !a.pending[0].at.Before(a.stepSince) {
			a.stepCalls += e.Calls
		}
		a.pending = a.pending[1:]
		r := a.route(e.Route)
		r.addNew(e, a.countedFailures(e), &a.service)
		a.evaluate(e.Route, r)
	}
}

// isDue reports whether evidence can be scored. Once the new version receives all traffic, there is no evidence of the
// old one from the same time to wait for.
func (a *Analysis) isDue(p pendingEvidence, now time.Time) bool {
	if a.step >= LastStep(a.config.Preset) && !p.at.Before(a.stepSince) {
		return true
	}
	return now.Sub(p.at) >= evaluationDelay
}

// countedFailures returns the failures that count against the new version. Once it receives all traffic, the old one no
// longer shows how other services affect both, so starved failures up to maxStarvedFailureRate are left out.
func (a *Analysis) countedFailures(e *schema.Evidence) uint64 {
	if a.step < LastStep(a.config.Preset) {
		return e.Failures
	}
	discounted := min(e.StarvedFailures, uint64(maxStarvedFailureRate*float64(e.StarvedCalls)+0.5))
	return e.Failures - min(discounted, e.Failures)
}

// addNew scores evidence of the new version, with the number of its failures that count.
func (r *routeComparison) addNew(e *schema.Evidence, failed uint64, service *baseline) {
	r.newCalls += e.Calls
	r.newFailures += failed
	r.recent.add(e)
	calls := float64(e.Calls)
	oldRate := r.baseline.failureRate(calls, float64(e.StarvedCalls), service, failures.floor)
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
func (a *Analysis) evaluate(route string, r *routeComparison) {
	if a.reason != "" {
		return
	}
	name, score := r.worstMetric()
	if score < a.config.Preset.RollbackThreshold {
		return
	}
	a.reason = fmt.Sprintf("route %s: %s of %s above that of %s (%d calls, %d failures, score %.1f)",
		route, name, a.config.Rollout.To, a.config.Rollout.From, r.newCalls, r.newFailures, score)
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
func (a *Analysis) maxScore() float64 {
	var highest float64
	for _, r := range a.routes {
		_, score := r.worstMetric()
		highest = max(highest, score)
	}
	return highest
}

// failsTooOften reports whether the recent failure rate of either version on a main route is above holdFailureRate, that of
// the old one was until less than recoveryTime ago, or that of the new one may be on any route, as far as its few recent
// calls show.
func (a *Analysis) failsTooOften() bool {
	mainCalls := minMainShare * a.service.longTerm.calls
	for _, r := range a.routes {
		if r.mayFailHeavily(&a.service) || r.baseline.disturbed && !r.baseline.frozen {
			return true
		}
		if r.baseline.longTerm.calls >= mainCalls && r.recent.failsTooOften() {
			return true
		}
	}
	return false
}

// isDisturbed reports whether the old version fails too often on a route, or has until less than recoveryTime ago.
func (a *Analysis) isDisturbed() bool {
	for _, r := range a.routes {
		if r.baseline.disturbed {
			return true
		}
	}
	return false
}

// updateDisturbances updates whether the old version is disturbed on each route. Once that has ended on a route, the
// comparison starts anew there, and the counts of the service leave out what happened on it before: scores that were
// gathered beside a disturbed version are too high beside a sound one, whose margin is smaller.
func (a *Analysis) updateDisturbances(now time.Time) {
	ended := false
	minCalls := minMainShare * a.service.shortTerm.calls
	for _, r := range a.routes {
		if r.baseline.updateDisturbance(minCalls, now) {
			ended = true
			r.failureScore, r.grossFailureScore, r.rejectionScore, r.latencyScore = cusum{}, cusum{}, cusum{}, cusum{}
		}
	}
	if !ended {
		return
	}
	a.service = baseline{}
	for _, r := range a.routes {
		a.service.longTerm.addCounts(&r.baseline.longTerm)
		a.service.shortTerm.addCounts(&r.baseline.shortTerm)
	}
}

// mayFailHeavily reports whether the new version's recent calls are more likely for a version that fails heavily than for
// one like the old version. The comparison ends when the old version receives no more traffic.
func (r *routeComparison) mayFailHeavily(service *baseline) bool {
	c := &r.recent
	if c.failures == 0 || r.baseline.frozen {
		return false
	}
	oldRate := r.baseline.failureRate(c.calls, c.starvedCalls, service, heavyFailures.floor)
	return heavyFailures.logLikelihoodRatio(c.failures, c.calls, oldRate) >= holdHeavyFailures
}

func (c *counts) failsTooOften() bool {
	return c.calls >= minHoldCalls && c.failures > holdFailureRate*c.calls
}

// decay applies the time since the last call to the old version's counts, as long as it receives traffic.
func (a *Analysis) decay(now time.Time) {
	elapsed := now.Sub(a.decayedAt)
	a.decayedAt = now
	frozen := a.step >= LastStep(a.config.Preset) && !IsPaused(a.pauses)
	for _, r := range a.routes {
		r.recent.decay(math.Pow(0.5, float64(elapsed)/float64(holdHalfLife)))
		r.baseline.frozen = frozen
		if !frozen {
			r.baseline.decay(elapsed)
		}
	}
	if !frozen {
		a.service.decay(elapsed)
		a.updateDisturbances(now)
	}
}
