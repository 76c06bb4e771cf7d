package roller

import "math"

// measure is one kind of badness with the rates that tell it from chance.
type measure struct {
	name string
	// floor is the lowest rate assumed for the old version.
	floor float64
	// badRate is the lowest rate of a bad version.
	badRate float64
	// badRatio is the least ratio of a bad version's rate to the old one's.
	badRatio float64
	// priorCalls weighs the floor against the old version's counts.
	priorCalls float64
}

var (
	failures      = measure{name: "failure-rate", floor: 0.002, badRate: 0.015, badRatio: 3, priorCalls: 200}
	grossFailures = measure{name: "failure-rate", floor: 0.01, badRate: 0.08, badRatio: 4, priorCalls: 50}
	rejections    = measure{name: "rejection-rate", floor: 0.01, badRate: 0.08, badRatio: 3, priorCalls: 100}
	slowness      = measure{name: "slow-rate", floor: 0.02, badRate: 0.15, badRatio: 3, priorCalls: 50}
)

// maxRate keeps rates away from 1, where the likelihood of a good call would be zero.
const maxRate = 0.95

// rates returns the assumed rate of a good and of a bad version, from the old version's decayed counts.
func (m measure) rates(events, calls float64) (good, bad float64) {
	good = (events + m.floor*m.priorCalls) / (calls + m.priorCalls)
	good = min(max(good, m.floor), maxRate*maxRate)
	bad = min(max(m.badRate, m.badRatio*good), maxRate)
	return good, bad
}

// cusum is a one-sided cumulative sum of log-likelihood ratios. It forgets good behaviour
// at zero, so that badness which begins late shows as fast as badness from the start.
type cusum struct {
	score float64
}

// add takes in a batch of calls, some of which were events.
func (c *cusum) add(events, calls, good, bad float64) {
	if calls <= 0 {
		return
	}
	others := max(calls-events, 0)
	c.score += events*math.Log(bad/good) + others*math.Log((1-bad)/(1-good))
	c.score = max(c.score, 0)
}
