// Package balancer chooses an upstream for a call: the better of two random candidates,
// by the calls in flight, recent latency, availability zone and warmth.
package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// otherZoneFactor makes an endpoint of another zone cost more until the own zone is busier by that much.
	otherZoneFactor = 1.5
	// coldFactor makes an endpoint in its cold start cost more.
	coldFactor = 4
	// suspectFactor makes a suspected endpoint cost more.
	suspectFactor = 8
	// latencyFloor keeps very fast endpoints from drawing all calls.
	latencyFloor = 0.001
)

// Balancer chooses endpoints for one node.
type Balancer struct {
	// Zone is the node's own availability zone.
	Zone string
	// Random gives the candidates.
	Random *rand.Rand
}

// Choose returns an endpoint for which skip is false, or nil. Ejected endpoints come last.
func (b Balancer) Choose(endpoints []*Endpoint, skip func(*Endpoint) bool, now time.Time) *Endpoint {
	if e := b.choose(endpoints, func(e *Endpoint) bool { return skip(e) || e.Load.Ejected(now) }, now); e != nil {
		return e
	}
	return b.choose(endpoints, skip, now)
}

func (b Balancer) choose(endpoints []*Endpoint, skip func(*Endpoint) bool, now time.Time) *Endpoint {
	first := b.pick(endpoints, skip, nil)
	if first == nil {
		return nil
	}
	second := b.pick(endpoints, skip, first)
	if second == nil || b.cost(first, now) <= b.cost(second, now) {
		return first
	}
	return second
}

// pick walks from a random start to the first endpoint that may be used.
func (b Balancer) pick(endpoints []*Endpoint, skip func(*Endpoint) bool, other *Endpoint) *Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	start := b.Random.IntN(len(endpoints))
	for i := range endpoints {
		e := endpoints[(start+i)%len(endpoints)]
		if e != other && !skip(e) {
			return e
		}
	}
	return nil
}

func (b Balancer) cost(e *Endpoint, now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	cost := (float64(e.Load.inFlight(now)) + 1) / slots * max(e.Load.latency, latencyFloor)
	if e.Zone != b.Zone {
		cost *= otherZoneFactor
	}
	if now.Before(e.WarmAt) {
		cost *= coldFactor
	}
	if e.Suspect {
		cost *= suspectFactor
	}
	return cost
}
