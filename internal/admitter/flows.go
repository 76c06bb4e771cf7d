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
	// maxFlows bounds the flows: each kind may have one in time and one late. At the bound all are dropped.
	maxFlows = 2 * maxKinds
)

// flowKey identifies items of the same kind that are all in time or all late.
type flowKey struct {
	kind string
	late bool
}

// flow is the recent rate of admitted work of one key.
type flow struct {
	rank int
	// work is the sum of admitted service times, decayed until updatedAt.
	work      time.Duration
	updatedAt time.Time
}

func (f flow) workAt(now time.Time) time.Duration {
	return time.Duration(float64(f.work) * math.Exp(-float64(now.Sub(f.updatedAt))/float64(flowTimeConstant)))
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
	f.byKey[key] = flow{rank: rank, work: before.workAt(now) + service, updatedAt: now}
}

// share returns the share of the slots, at most maxFlowShare, that the flows selected by keep are expected to take.
func (f *flows) share(slots int, now time.Time, keep func(flowKey, int) bool) float64 {
	var work time.Duration
	for k, fl := range f.byKey {
		if keep(k, fl.rank) {
			work += fl.workAt(now)
		}
	}
	return min(float64(work)/float64(flowTimeConstant)/float64(slots), maxFlowShare)
}
