package roller

import (
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// longHalfLife and shortHalfLife are the half-lives of the old version's counts. The short-term counts detect
	// failures that begin for both versions at the same time.
	longHalfLife  = 30 * time.Second
	shortHalfLife = 2 * time.Second
	// servicePriorCalls is the weight, in calls, of the service-wide rate as the prior of a route's rate.
	servicePriorCalls = 40
	// shortPriorCalls is the weight, in calls, of the long-term estimate as the prior of the short-term rates.
	shortPriorCalls = 10
	// starvedFailureFloor is the lowest failure rate assumed while calls that an upstream may depend on are refused.
	starvedFailureFloor = 0.1
)

// counts are exponentially decayed counts of calls to the old version.
type counts struct {
	calls      float64
	failures   float64
	rejections float64
	latencies  histogram
	// starvedCalls and starvedFailures are the calls and failures answered while the upstream's node was refusing
	// calls that the upstream may depend on.
	starvedCalls    float64
	starvedFailures float64
}

func (c *counts) add(e *schema.Evidence) {
	c.calls += float64(e.Calls)
	c.failures += float64(e.Failures)
	c.rejections += float64(e.Rejections)
	c.latencies.add(e.LatencyBuckets)
	c.starvedCalls += float64(e.StarvedCalls)
	c.starvedFailures += float64(e.StarvedFailures)
}

// addCounts adds the counts of another value.
func (c *counts) addCounts(o *counts) {
	c.calls += o.calls
	c.failures += o.failures
	c.rejections += o.rejections
	for i, n := range o.latencies {
		c.latencies[i] += n
	}
	c.starvedCalls += o.starvedCalls
	c.starvedFailures += o.starvedFailures
}

func (c *counts) decay(factor float64) {
	c.calls *= factor
	c.failures *= factor
	c.rejections *= factor
	c.latencies.decay(factor)
	c.starvedCalls *= factor
	c.starvedFailures *= factor
}

// baseline is the behaviour of the old version, on one route or in the whole service.
type baseline struct {
	longTerm  counts
	shortTerm counts
	// frozen is set on a route's baseline once the old version receives no traffic.
	frozen bool
	// disturbed is set on a route's baseline from when the old version fails too often until it has not for recoveryTime.
	// calmAt is since when it has not, or zero, and calm counts the calls since then.
	disturbed bool
	calmAt    time.Time
	calm      counts
}

func (b *baseline) add(e *schema.Evidence) {
	b.longTerm.add(e)
	b.shortTerm.add(e)
	if !b.calmAt.IsZero() {
		b.calm.add(e)
	}
}

// recoveryTime is how long the old version must not have failed too often after a disturbance for the comparison to go on.
const recoveryTime = time.Second

// updateDisturbance updates whether the old version is disturbed on a route with at least minCalls recent calls. After a
// disturbance, only the calls since its end are kept: those before don't show how often the old version fails now. It
// reports whether the disturbance has ended.
func (b *baseline) updateDisturbance(minCalls float64, now time.Time) (ended bool) {
	switch {
	case b.shortTerm.calls >= minCalls && b.shortTerm.failsTooOften():
		b.disturbed, b.calmAt = true, time.Time{}
	case b.disturbed && b.calmAt.IsZero():
		b.calmAt, b.calm = now, counts{}
	case b.disturbed && now.Sub(b.calmAt) >= recoveryTime:
		b.longTerm, b.shortTerm = b.calm, b.calm
		b.disturbed, b.calmAt = false, time.Time{}
		return true
	}
	return false
}

func (b *baseline) decay(elapsed time.Duration) {
	b.longTerm.decay(math.Pow(0.5, float64(elapsed)/float64(longHalfLife)))
	b.shortTerm.decay(math.Pow(0.5, float64(elapsed)/float64(shortHalfLife)))
}

// eventSelector returns the count of one kind of event and of the calls in which it may occur.
type eventSelector func(c *counts) (events, calls float64)

func unstarvedFailureEvents(c *counts) (events, calls float64) {
	return c.failures - c.starvedFailures, c.calls - c.starvedCalls
}

func starvedFailureEvents(c *counts) (events, calls float64) {
	return c.starvedFailures, c.starvedCalls
}

func rejectionEvents(c *counts) (events, calls float64) { return c.rejections, c.calls }

func slowEvents(limit int) eventSelector {
	return func(c *counts) (events, calls float64) { return c.latencies.above(limit), c.latencies.total() }
}

// upperBound adds half a standard deviation, as a margin for random variation, to a rate estimated from a number of
// calls.
func upperBound(rate, calls float64) float64 {
	const deviations = 0.5
	return rate + deviations*math.Sqrt(rate*(1-min(rate, 1))/calls)
}

// rate estimates the rate of an event on a route of the old version. The rate of the whole service is the prior for
// routes with few calls. The highest of the long-term and short-term estimates is used, so that a failure that
// affects both versions is not attributed to the new one.
func (b *baseline) rate(of eventSelector, service *baseline, floor float64) float64 {
	serviceEvents, serviceCalls := of(&service.longTerm)
	prior := (serviceEvents + floor*servicePriorCalls) / (serviceCalls + servicePriorCalls)
	events, calls := of(&b.longTerm)
	longTerm := upperBound((events+prior*servicePriorCalls)/(calls+servicePriorCalls), calls+servicePriorCalls)
	recentServiceEvents, recentServiceCalls := of(&service.shortTerm)
	recentEvents, recentCalls := of(&b.shortTerm)
	serviceShortTerm := (recentServiceEvents + longTerm*shortPriorCalls) / (recentServiceCalls + shortPriorCalls)
	routeShortTerm := (recentEvents + longTerm*shortPriorCalls) / (recentCalls + shortPriorCalls)
	if b.frozen {
		// The route's counts are small and no longer updated, so the service-wide rate is the lower limit.
		return max(longTerm, prior)
	}
	return max(longTerm, serviceShortTerm, routeShortTerm)
}

// failureRate estimates the failure rate of the old version for calls to the new one, weighted by the starved fraction of
// those: the nodes of the two versions may differ in how often they refuse calls that their upstreams depend on.
func (b *baseline) failureRate(calls, starvedCalls float64, service *baseline, floor float64) float64 {
	unstarved := b.rate(unstarvedFailureEvents, service, floor)
	if calls == 0 || starvedCalls == 0 {
		return unstarved
	}
	starved := b.rate(starvedFailureEvents, service, max(floor, starvedFailureFloor))
	fraction := min(starvedCalls/calls, 1)
	return unstarved*(1-fraction) + max(unstarved, starved)*fraction
}
