package admitter

import (
	"math"
	"time"
)

const (
	// flowTimeConstant is the time in which the weight of admitted work decays to 1/e.
	flowTimeConstant = time.Second
	// maxFlowShare bounds the share of the slots that overtaking work is expected to take. It is below 1 so that the
	// estimated wait stays finite.
	maxFlowShare = 0.95
	// maxFlows bounds the flows: each kind may have some in time and late, within and over the customers' shares. At the bound
	// all are dropped.
	maxFlows = 4 * maxKinds
)

// flowKey identifies items of the same kind that queue alike.
type flowKey struct {
	kind string
	late bool
	over bool
}

// flow is the recent rate of admitted work of one key.
type flow struct {
	rank int
	// work is the sum of admitted service times, and items their number, both decayed until updatedAt.
	work      time.Duration
	items     float64
	updatedAt time.Time
}

// at returns the flow decayed until now.
func (f flow) at(now time.Time) flow {
	remaining := math.Exp(-float64(now.Sub(f.updatedAt)) / float64(flowTimeConstant))
	return flow{rank: f.rank, work: time.Duration(float64(f.work) * remaining), items: f.items * remaining, updatedAt: now}
}

// flows estimates how much work will arrive and overtake an item while it waits.
type flows struct {
	byKey map[flowKey]flow
}

func (f *flows) record(key flowKey, rank int, service time.Duration, now time.Time) {
	before, known := f.byKey[key]
	if !known && (f.byKey == nil || len(f.byKey) >= maxFlows) {
		f.byKey = map[flowKey]flow{}
	}
	current := before.at(now)
	f.byKey[key] = flow{rank: rank, work: current.work + service, items: current.items + 1, updatedAt: now}
}

// sum returns the work and the items of the flows selected by keep.
func (f *flows) sum(now time.Time, keep func(flowKey, int) bool) flow {
	var sum flow
	for k, fl := range f.byKey {
		if keep(k, fl.rank) {
			current := fl.at(now)
			sum.work += current.work
			sum.items += current.items
		}
	}
	return sum
}

// slotShare returns the share of the slots, at most maxFlowShare, that a flow is expected to take.
func (f flow) slotShare(slots int) float64 {
	return min(float64(f.work)/float64(flowTimeConstant)/float64(slots), maxFlowShare)
}

// rateShare returns the share of the grants at a rate per second, at most maxFlowShare, that a flow is expected to take.
func (f flow) rateShare(perSecond float64) float64 {
	return min(f.items/flowTimeConstant.Seconds()/perSecond, maxFlowShare)
}
