// Package balancer chooses the upstream for a call: the one with the lowest expected completion time, to which the cost
// of carrying the response between availability zones is added as time.
//
// It is designed for zones and upstreams that differ in traffic, speed and failure rate. A node knows the load of
// others only from the reports in their responses.
package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// ColdStartFactor multiplies the service time of an upstream in its cold start.
	ColdStartFactor = 2
	// suspectCost is added for an endpoint whose node misses heartbeats.
	suspectCost = time.Second
	// defaultServiceTime is assumed for an endpoint without measurements. It is short, so that a new endpoint gets
	// calls at once; its slots bound how many.
	defaultServiceTime = time.Millisecond
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
	// ZoneCost is the cost of a response from another zone, as time added to the expected completion time.
	ZoneCost time.Duration
	// RateDelay returns how long an endpoint's rate limit keeps the call waiting; not positive if it does not. It is nil
	// if no endpoint has a rate limit.
	RateDelay func(*Endpoint) time.Duration
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
	var best *Endpoint
	var bestCost time.Duration
	var own, others int
	n := len(endpoints)
	if n == 0 {
		return best
	}
	start := b.Random.IntN(n)
	for i := range n {
		e := endpoints[(start+i)%n]
		if c.Skip(e) || e.Load.Ejected(now) != ejected || !b.inSample(e, &own, &others) {
			continue
		}
		cost := e.expectedTime(now)
		if c.RateDelay != nil {
			cost += max(c.RateDelay(e), 0)
		}
		if e.Zone != b.Zone {
			cost += c.ZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
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

// expectedTime returns the expected time until a call sent now is answered: the wait for a slot plus the service time.
func (e *Endpoint) expectedTime(now time.Time) time.Duration {
	service := e.Load.ServiceTime(now)
	if now.Before(e.WarmAt) {
		service *= ColdStartFactor
	}
	slots := max(int(e.Slots), 1)
	expected := service
	if ahead := e.Load.inFlight(now) + 1 - slots; ahead > 0 {
		expected += time.Duration(ahead) * service / time.Duration(slots)
	}
	// This prefers the least loaded among endpoints with free slots.
	expected += time.Duration(e.Load.inFlight(now)) * service / time.Duration(tieBreakDivisor*slots)
	if e.Suspect {
		expected += suspectCost
	}
	return expected
}

// tieBreakDivisor sets the weight of the load: an endpoint with all slots taken costs 1/tieBreakDivisor of its service
// time more than an idle one.
const tieBreakDivisor = 8
