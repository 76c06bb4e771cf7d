package admitter

import (
	"math"
	"time"
)

const (
	// flowMemory is the time in which the weight of admitted work falls to 1/e.
	flowMemory = time.Second
	// maxFlow bounds the part of the slots that work which goes first is expected to take.
	maxFlow = 0.95
	// maxFlows bounds the keys that are remembered: each kind, in time and late.
	maxFlows = 2 * maxKinds
)

// flowKey names the items that are alike for those that wait.
type flowKey struct {
	kind string
	late bool
}

// flow is the work that items of one key bring.
type flow struct {
	rank int
	// work is the service time that was admitted, weighted by age.
	work time.Duration
	at   time.Time
}

func (f flow) workAt(now time.Time) time.Duration {
	return time.Duration(float64(f.work) * math.Exp(-float64(now.Sub(f.at))/float64(flowMemory)))
}

// flows tells how much work comes that goes before an item while it waits.
type flows struct {
	byKey map[flowKey]flow
}

func (f *flows) note(key flowKey, rank int, service time.Duration, now time.Time) {
	before, known := f.byKey[key]
	if !known && (f.byKey == nil || len(f.byKey) >= maxFlows) {
		f.byKey = map[flowKey]flow{}
	}
	f.byKey[key] = flow{rank: rank, work: before.workAt(now) + service, at: now}
}

// share returns the part of the slots, up to maxFlow, that is expected to go to those flows which the filter keeps.
func (f *flows) share(slots int, now time.Time, keep func(flowKey, int) bool) float64 {
	var work time.Duration
	for key, one := range f.byKey {
		if keep(key, one.rank) {
			work += one.workAt(now)
		}
	}
	return min(float64(work)/float64(flowMemory)/float64(slots), maxFlow)
}
