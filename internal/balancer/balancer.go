// Package balancer chooses the upstream for a call: the one where it is expected to be done first, where
// carrying the answer from another availability zone counts as time.
//
// It answers uneven load: zones and upstreams whose callers, speeds and failures differ, while each node knows of the
// others' load only what their answers tell.
package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// ColdFactor multiplies the service time of an upstream in its cold start.
	ColdFactor = 2
	// suspectCost is added for an endpoint whose node misses its heartbeats.
	suspectCost = time.Second
	// defaultServiceTime stands for that of an endpoint that has not answered yet. It is short, so that a new
	// endpoint is tried at once; its slots bound what it gets.
	defaultServiceTime = time.Millisecond
	// sampleSize bounds the endpoints that are compared of each group, own zone and others.
	sampleSize = 16
)

// Balancer chooses endpoints for one node.
type Balancer struct {
	// Zone is the node's own availability zone.
	Zone string
	// Random breaks ties and samples.
	Random *rand.Rand
}

// Call is what the choice depends on besides the endpoints.
type Call struct {
	// Skip tells which endpoints can't be used.
	Skip func(*Endpoint) bool
	// ZoneCost is the time that a caller's answer from another zone counts for.
	ZoneCost time.Duration
}

// Choose returns the best endpoint, or nil. Ejected endpoints come last.
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
		if c.Skip(e) || e.Load.Ejected(now) != ejected || !b.sampled(e, &own, &others) {
			continue
		}
		cost := e.expected(now)
		if e.Zone != b.Zone {
			cost += c.ZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// sampled counts an endpoint and tells whether it is among the first of its group.
func (b Balancer) sampled(e *Endpoint, own, others *int) bool {
	group := others
	if e.Zone == b.Zone {
		group = own
	}
	*group++
	return *group <= sampleSize
}

// expected is the time until a call that is sent now is done: the wait for a slot and the service.
func (e *Endpoint) expected(now time.Time) time.Duration {
	service := e.Load.ServiceTime(now)
	if now.Before(e.WarmAt) {
		service *= ColdFactor
	}
	slots := max(int(e.Slots), 1)
	expected := service
	if ahead := e.Load.inFlight(now) + 1 - slots; ahead > 0 {
		expected += time.Duration(ahead) * service / time.Duration(slots)
	}
	// Among endpoints with free slots the least loaded is preferred.
	expected += time.Duration(e.Load.inFlight(now)) * service / time.Duration(loadTieBreak*slots)
	if e.Suspect {
		expected += suspectCost
	}
	return expected
}

// loadTieBreak is the part of a service time that a fully loaded endpoint costs more than a free one.
const loadTieBreak = 8
