package roller

import "math"

// metric is one kind of event that tells a bad version from a good one, with the rates that the test assumes.
type metric struct {
	name string
	// floor is the lowest rate assumed for the old version.
	floor float64
	// badRate is the lowest rate of a bad version.
	badRate float64
	// badRatio is the lowest ratio of a bad version's odds to those of the old one. Odds remain comparable where the
	// old version often fails, as under overload.
	badRatio float64
}

// grossFailures has a higher floor than failures, and so a smaller margin where the old version fails often, but needs a
// larger difference between the versions.
var (
	failures      = metric{name: "failure-rate", floor: 0.002, badRate: 0.015, badRatio: 3}
	grossFailures = metric{name: "failure-rate", floor: 0.01, badRate: 0.08, badRatio: 4}
	rejections    = metric{name: "rejection-rate", floor: 0.01, badRate: 0.08, badRatio: 3}
	slowness      = metric{name: "slow-rate", floor: 0.02, badRate: 0.15, badRatio: 3}
)

// heavyFailures tells a version that fails about half of its calls from a good one. It needs only a few calls for that, so
// it holds a rollout that has too few of them for a rollback.
var heavyFailures = metric{name: "failure-rate", floor: 0.01, badRate: 0.5, badRatio: 4}

const (
	// marginFactor scales the margin of metrics whose events are frequent in the old version.
	marginFactor = 1.5
	// maxMargin bounds the margin, so that a clearly worse version is detected even if the old one fails often.
	maxMargin = 3
)

// maxRate keeps rates below 1, where the likelihood of a good call would be zero.
const maxRate = 0.95

// rates returns the assumed rates of a good and of a bad version, given the old version's rate.
func (m metric) rates(oldRate float64) (good, bad float64) {
	good = min(max(oldRate, m.floor), maxRate*maxRate)
	odds := m.badRatio * good / (1 - good)
	bad = min(max(m.badRate, odds/(1+odds)), maxRate)
	return good, bad
}

// logLikelihoodRatio returns the logarithm of how much more likely a batch of calls, of which events had the event, is for
// a bad version than for a good one. oldRate is the rate of the old version.
func (m metric) logLikelihoodRatio(events, calls, oldRate float64) float64 {
	good, bad := m.rates(oldRate)
	return events*math.Log(bad/good) + max(calls-events, 0)*math.Log((1-bad)/(1-good))
}

// cusum is a one-sided cumulative sum of log-likelihood ratios. It does not fall below zero, so that a version that
// turns bad late is detected as fast as one that is bad from the start.
type cusum struct {
	score float64
	// margin raises the threshold: random variation lifts the score more often where events are frequent, so the same
	// rate of false alarms needs a higher threshold there.
	margin float64
}

// excess returns the score without the margin.
func (c *cusum) excess() float64 { return c.score - c.margin }

// add updates the score with a batch of calls, of which events had the event. oldRate is the rate of the old version.
func (c *cusum) add(m metric, events, calls, oldRate float64) {
	if calls <= 0 {
		return
	}
	good, _ := m.rates(oldRate)
	c.margin = min(marginFactor*math.Log(good/m.floor), maxMargin)
	c.score = max(c.score+m.logLikelihoodRatio(events, calls, oldRate), 0)
}
