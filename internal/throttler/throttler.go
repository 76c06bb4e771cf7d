// Package throttler decides, at the node where calls enter the mesh, which of them are refused without asking any
// upstream's node for a slot.
//
// It answers demand that exceeds the slots of a whole service for seconds: a call that is carried to node after node only
// to be refused uses the processor time and the links that the calls with a slot need. Each node decides alone, from what
// became of its own calls.
package throttler

import (
	"math"
	"time"
)

const (
	// timeConstant is the time in which the weight of a result decays to 1/e.
	timeConstant = time.Second
	// headroom is how many calls are offered for each that recently got a slot. It is above 1 so that returning room is
	// found.
	headroom = 2
	// minCalls is added to the calls, so that a few refusals do not stop calls that are rare.
	minCalls = 4
	// minEarlyShare is the share of refused calls from which calls that are repeated too early are refused.
	minEarlyShare = 0.1
	// maxKeys bounds the histories that are kept. At the bound all are dropped.
	maxKeys = 1024
)

// Key identifies calls that are refused alike: the slots go by service, rank and lateness, the link by the length of
// responses.
type Key struct {
	Service string
	Route   string
	Rank    int
	// Late is set if the call had hardly a chance to be answered by its latency target when it entered the mesh.
	Late bool
}

// history counts the recent calls of one key.
type history struct {
	// calls and granted are decayed until updatedAt. granted is at most calls.
	calls     float64
	granted   float64
	updatedAt time.Time
}

func (h history) at(now time.Time) history {
	remaining := math.Exp(-float64(now.Sub(h.updatedAt)) / float64(timeConstant))
	return history{calls: h.calls * remaining, granted: h.granted * remaining, updatedAt: now}
}

// refusalShare returns the share of the calls that are to be refused.
func (h history) refusalShare() float64 {
	return max(h.calls-headroom*h.granted, 0) / (h.calls + minCalls)
}

// Throttler holds the recent results of one node's calls. The zero value admits every call. It is not safe for concurrent
// use.
type Throttler struct {
	histories map[Key]history
}

// Admits decides on a call, given a random number in [0, 1). Of calls whose callers repeat them sooner than they were told,
// none is admitted while others are refused, and they don't count: repeating often must be no second chance. Any other call that
// is refused counts as one that got no slot; the owner records the results of admitted calls.
func (t *Throttler) Admits(k Key, now time.Time, random float64, early bool) bool {
	h, known := t.histories[k]
	if !known {
		return true
	}
	share := h.at(now).refusalShare()
	if early && share >= minEarlyShare {
		return false
	}
	if random >= share {
		return true
	}
	t.Record(k, false, now)
	return false
}

// Record records whether a call that was offered to the nodes of its service got a slot.
func (t *Throttler) Record(k Key, granted bool, now time.Time) {
	last, known := t.histories[k]
	if !known && (t.histories == nil || len(t.histories) >= maxKeys) {
		t.histories = map[Key]history{}
	}
	h := last.at(now)
	h.calls++
	if granted {
		h.granted++
	}
	t.histories[k] = h
}
