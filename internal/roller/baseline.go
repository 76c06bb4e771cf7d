package roller

import (
	"math"
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

const (
	// slowHalfLife and fastHalfLife are the times in which the old version's counts lose half of their
	// weight. The fast counts see trouble that begins for both versions at once.
	slowHalfLife = 30 * time.Second
	fastHalfLife = 2 * time.Second
	// servicePriorCalls weighs the rate of all routes against that of one.
	servicePriorCalls = 40
	// fastPriorCalls weighs the slow estimate against the fast counts.
	fastPriorCalls = 10
	// starvedFloor is the lowest rate of failures assumed while calls that an upstream depends on are turned away.
	starvedFloor = 0.1
)

// counts are decayed counts of the old version.
type counts struct {
	calls      float64
	failures   float64
	rejections float64
	latencies  histogram
	// starvedCalls and starvedFailures are the part of calls and failures that came while calls which
	// the upstream may depend on were turned away beside it.
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

func (c *counts) decay(factor float64) {
	c.calls *= factor
	c.failures *= factor
	c.rejections *= factor
	c.latencies.decay(factor)
	c.starvedCalls *= factor
	c.starvedFailures *= factor
}

// baseline is what the old version does, over a long and a short while.
type baseline struct {
	slow counts
	fast counts
	// frozen tells that the old version takes no traffic any more.
	frozen bool
}

func (b *baseline) add(e *schema.Evidence) {
	b.slow.add(e)
	b.fast.add(e)
}

func (b *baseline) decay(elapsed time.Duration) {
	b.slow.decay(math.Pow(0.5, float64(elapsed)/float64(slowHalfLife)))
	b.fast.decay(math.Pow(0.5, float64(elapsed)/float64(fastHalfLife)))
}

// event picks one kind of event and its calls from counts.
type event func(c *counts) (events, calls float64)

func calmFailureEvents(c *counts) (events, calls float64) {
	return c.failures - c.starvedFailures, c.calls - c.starvedCalls
}

func starvedFailureEvents(c *counts) (events, calls float64) {
	return c.starvedFailures, c.starvedCalls
}

func rejectionEvents(c *counts) (events, calls float64) { return c.rejections, c.calls }

func slowEvents(limit int) event {
	return func(c *counts) (events, calls float64) { return c.latencies.above(limit), c.latencies.total() }
}

// upper adds a margin for chance to a rate that was estimated from a number of calls.
func upper(rate, calls float64) float64 {
	const deviations = 0.5
	return rate + deviations*math.Sqrt(rate*(1-min(rate, 1))/calls)
}

// rate estimates how often an event comes on a route of the old version. Routes with few calls
// lean on the whole service. The higher of the long and the short while counts, so that the
// new version is not blamed for what befalls both.
func (b *baseline) rate(of event, service *baseline, floor float64) float64 {
	serviceEvents, serviceCalls := of(&service.slow)
	prior := (serviceEvents + floor*servicePriorCalls) / (serviceCalls + servicePriorCalls)
	events, calls := of(&b.slow)
	slow := upper((events+prior*servicePriorCalls)/(calls+servicePriorCalls), calls+servicePriorCalls)
	fastEvents, fastCalls := of(&service.fast)
	routeEvents, routeCalls := of(&b.fast)
	fast := (fastEvents + slow*fastPriorCalls) / (fastCalls + fastPriorCalls)
	fastRoute := (routeEvents + slow*fastPriorCalls) / (routeCalls + fastPriorCalls)
	if b.frozen {
		// The counts of a route are few and will not change any more.
		return max(slow, prior)
	}
	return max(slow, fast, fastRoute)
}

// failureRate estimates how often calls to the old version fail that come under the conditions of some evidence: the
// nodes of the two versions may differ in how often calls that their upstreams depend on are turned away.
func (b *baseline) failureRate(e *schema.Evidence, service *baseline, floor float64) float64 {
	calm := b.rate(calmFailureEvents, service, floor)
	if e.Calls == 0 || e.StarvedCalls == 0 {
		return calm
	}
	starved := b.rate(starvedFailureEvents, service, max(floor, starvedFloor))
	part := min(float64(e.StarvedCalls)/float64(e.Calls), 1)
	return calm*(1-part) + max(calm, starved)*part
}
