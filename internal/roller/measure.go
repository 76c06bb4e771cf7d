package roller

import "math"

// measure is one kind of badness with the rates that tell it from chance.
type measure struct {
	name string
	// floor is the lowest rate assumed for the old version.
	floor float64
	// badRate is the lowest rate of a bad version.
	badRate float64
	// badRatio is the least ratio of a bad version's odds to the old one's. Odds keep their meaning where
	// the old version fails often, as under overload.
	badRatio float64
}

var (
	failures      = measure{name: "failure-rate", floor: 0.002, badRate: 0.015, badRatio: 3}
	grossFailures = measure{name: "failure-rate", floor: 0.01, badRate: 0.08, badRatio: 4}
	rejections    = measure{name: "rejection-rate", floor: 0.01, badRate: 0.08, badRatio: 3}
	slowness      = measure{name: "slow-rate", floor: 0.02, badRate: 0.15, badRatio: 3}
)

const (
	// marginFactor scales the margin of measures whose events are frequent by nature.
	marginFactor = 1.5
	// maxMargin keeps a version that is clearly worse from hiding behind an old one that fails often.
	maxMargin = 3
)

// maxRate keeps rates away from 1, where the likelihood of a good call would be zero.
const maxRate = 0.95

// rates returns the assumed rate of a good and of a bad version, from the old version's rate.
func (m measure) rates(old float64) (good, bad float64) {
	good = min(max(old, m.floor), maxRate*maxRate)
	odds := m.badRatio * good / (1 - good)
	bad = min(max(m.badRate, odds/(1+odds)), maxRate)
	return good, bad
}

// cusum is a one-sided cumulative sum of log-likelihood ratios. It forgets good behaviour
// at zero, so that badness which begins late shows as fast as badness from the start.
type cusum struct {
	score float64
	// margin is added to the threshold: chance takes the score up as often as events come,
	// so that a version with many events by nature needs a higher threshold for the same false alarms.
	margin float64
}

// excess returns the score without the margin.
func (c *cusum) excess() float64 { return c.score - c.margin }

// add takes in a batch of calls, some of which were events.
func (c *cusum) add(m measure, events, calls, old float64) {
	if calls <= 0 {
		return
	}
	good, bad := m.rates(old)
	c.margin = min(marginFactor*math.Log(good/m.floor), maxMargin)
	others := max(calls-events, 0)
	c.score += events*math.Log(bad/good) + others*math.Log((1-bad)/(1-good))
	c.score = max(c.score, 0)
}
