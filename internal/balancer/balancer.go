// Package balancer chooses the upstream for a call: the one with the lowest expected completion time. A call leaves its
// availability zone only if no upstream there can be relied on to answer by the latency target, and one of another zone is
// faster by more than the cost of going there, given as time.
//
// It is designed for zones and upstreams that differ in traffic, speed and failure rate. A node knows the load of
// others only from the reports in their responses.
package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// coldStartFactor multiplies the service time that is assumed for an endpoint in its cold start until it is measured.
	coldStartFactor = 2
	// suspectCost is added for an endpoint whose node misses heartbeats.
	suspectCost = time.Second
	// defaultServiceTime is assumed for endpoints while none of the service has measurements.
	defaultServiceTime = 50 * time.Millisecond
	// unmeasuredShare is the share of the service's usual time that is assumed for an endpoint without measurements. It is
	// below 1, so that one is tried before others of equal load.
	unmeasuredShare = 0.75
	// targetMargin is how many expected completion times must fit before the latency target for a call to stay in its zone.
	// It is above 1 because many calls take longer than the mean.
	targetMargin = 2
	// sampleSize bounds the endpoints compared per choice in each of two groups: the own zone and all others.
	sampleSize = 16
)

// Balancer chooses endpoints for one node. It is not safe for concurrent use.
type Balancer struct {
	// Zone is the node's own availability zone.
	Zone string
	// Random picks where the comparison starts, which selects the sample and breaks ties.
	Random *rand.Rand
}

// Call holds the properties of a call that the choice depends on.
type Call struct {
	// Skip reports whether an endpoint must not be chosen.
	Skip func(*Endpoint) bool
	// ZoneCost is the cost of sending the call to another zone, as time added to the expected completion time.
	ZoneCost time.Duration
	// RateDelay returns how long an endpoint's rate limit keeps the call waiting; not positive if it does not. It is nil
	// if no endpoint has a rate limit.
	RateDelay func(*Endpoint) time.Duration
	// TimeToTarget is the time left until the call's latency target; not positive if it has none or has missed it.
	TimeToTarget time.Duration
	// Weight is the call's service time as a multiple of the mean over all calls of its service; 0 if it is not known.
	Weight float64
}

// weight returns Weight, or 1 if that is not known.
func (c Call) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}

// Choose returns the endpoint with the lowest cost, or nil if all are skipped. An ejected endpoint is chosen only if no
// other is left.
func (b Balancer) Choose(endpoints []*Endpoint, c Call, now time.Time) *Endpoint {
	if e := b.choose(endpoints, c, now, false); e != nil {
		return e
	}
	return b.choose(endpoints, c, now, true)
}

func (b Balancer) choose(endpoints []*Endpoint, c Call, now time.Time, ejected bool) *Endpoint {
	var own, other candidate
	var ownCount, otherCount int
	n := len(endpoints)
	if n == 0 {
		return nil
	}
	usual, ok := UsualServiceTime(endpoints)
	if !ok {
		usual = defaultServiceTime
	}
	start := b.Random.IntN(n)
	for i := range n {
		e := endpoints[(start+i)%n]
		if c.Skip(e) || e.Load.Ejected(now) != ejected || !b.inSample(e, &ownCount, &otherCount) {
			continue
		}
		expected := e.expectedTime(c.weight(), usual, now)
		if c.RateDelay != nil {
			expected += max(c.RateDelay(e), 0)
		}
		if e.Zone == b.Zone {
			own = own.fasterOf(e, expected)
		} else {
			other = other.fasterOf(e, expected)
		}
	}
	switch {
	case own.endpoint == nil:
		return other.endpoint
	case other.endpoint == nil, own.answersBy(c.TimeToTarget):
		return own.endpoint
	case own.expected > other.expected+c.ZoneCost:
		return other.endpoint
	}
	return own.endpoint
}

// candidate is the best endpoint of a group so far. The zero value has none.
type candidate struct {
	endpoint *Endpoint
	// expected is the expected time until a call sent now is answered.
	expected time.Duration
}

// fasterOf returns the candidate, or the endpoint if that is expected to answer sooner.
func (c candidate) fasterOf(e *Endpoint, expected time.Duration) candidate {
	if c.endpoint == nil || expected < c.expected {
		return candidate{endpoint: e, expected: expected}
	}
	return c
}

// answersBy reports whether the candidate can be relied on to answer within the time left to a latency target.
func (c candidate) answersBy(left time.Duration) bool {
	return time.Duration(targetMargin*float64(c.expected)) <= left
}

// UsualServiceTime returns the mean of the service times last measured at a service's endpoints. It returns false if none
// has been measured.
func UsualServiceTime(endpoints []*Endpoint) (time.Duration, bool) {
	var sum, count time.Duration
	for _, e := range endpoints {
		if e.Load.serviceTime > 0 {
			sum += e.Load.serviceTime
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / count, true
}

// inSample counts the endpoint in its group, and reports whether it is among the first sampleSize of the group.
func (b Balancer) inSample(e *Endpoint, own, others *int) bool {
	group := others
	if e.Zone == b.Zone {
		group = own
	}
	*group++
	return *group <= sampleSize
}

// expectedTime returns the expected time until a call sent now is answered: the wait for a slot, behind calls of the mean
// service time, plus the call's own. usual is the mean over the service's endpoints.
func (e *Endpoint) expectedTime(weight float64, usual time.Duration, now time.Time) time.Duration {
	service := e.Load.serviceTimeOr(usual, now)
	if now.Before(e.WarmAt) && !e.Load.measuredRecently(now) {
		service *= coldStartFactor
	}
	slots := max(e.Load.window(int(e.Slots)), 1)
	inFlight := e.Load.inFlight(now)
	expected := time.Duration(weight * float64(service))
	if ahead := inFlight + 1 - slots; ahead > 0 {
		expected += time.Duration(ahead) * service / time.Duration(slots)
	}
	// This prefers the least loaded among endpoints with free slots.
	expected += time.Duration(inFlight) * service / time.Duration(tieBreakDivisor*slots)
	if e.Suspect {
		expected += suspectCost
	}
	return expected
}

// tieBreakDivisor sets the weight of the load: an endpoint with all slots taken costs 1/tieBreakDivisor of its service
// time more than an idle one.
const tieBreakDivisor = 8
