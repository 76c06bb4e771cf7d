package balancer

import (
	"math"
	"time"
)

const (
	// overflowWeight is the weight of a new result in the moving average.
	overflowWeight = 0.3
	// overflowHalfLife is the time over which the effect of earlier refusals halves, so that other zones are tried again.
	overflowHalfLife = 300 * time.Millisecond
	// minOverflowShare bounds the cost of another zone for a call whose own zone can't take it at all.
	minOverflowShare = 0.15
)

// Overflow tracks how often upstreams of other availability zones had room for the calls of a service that this node sent
// there. It answers the load under which all zones are full: reports are then too old to tell where a slot is free, and each
// node would look for it by sending. The zero value expects room.
type Overflow struct {
	// refused is the moving average of refusals at refusedAt, from 0 to 1.
	refused   float64
	refusedAt time.Time
}

// Record records whether an upstream of another zone had room for a call.
func (o *Overflow) Record(hadRoom bool, now time.Time) {
	result := 1.0
	if hadRoom {
		result = 0
	}
	last := 1 - o.share(now)
	o.refused = last + overflowWeight*(result-last)
	o.refusedAt = now
}

// Cost returns what the refused tries are expected to cost until another zone has room, given the cost of each.
func (o *Overflow) Cost(try time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(try) * (1/max(o.share(now), minOverflowShare) - 1))
}

// share returns the expected share of calls for which other zones have room.
func (o *Overflow) share(now time.Time) float64 {
	return 1 - o.refused*math.Exp2(-float64(now.Sub(o.refusedAt))/float64(overflowHalfLife))
}
