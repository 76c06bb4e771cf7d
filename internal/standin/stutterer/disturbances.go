package stutterer

import (
	"slices"
	"sync"
	"time"
)

// Bounds of the platform.
const (
	// applyBound is the time within which nodes follow a version that was acknowledged.
	applyBound = 2 * time.Second
	// outerBound is added to applyBound while the store is disturbed without being down.
	outerBound = 5 * time.Second
	// steadyTime is the time after a disturbance from which applyBound holds.
	steadyTime = 3 * time.Second
	// catchUpTime is the time after its start, or after a disruption of its VM, from which a node is bound.
	catchUpTime = 4 * time.Second
	// goBackSlack is the time after an answer from which a node may not go back behind what the answer has shown.
	goBackSlack = 250 * time.Millisecond
)

// disturbances are those of the store, one after the other. It is safe for concurrent use.
type disturbances struct {
	mu  sync.Mutex
	all []disturbance
}

// begin begins a disturbance and returns its beginning.
func (s *disturbances) begin(down bool) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Now()
	s.all = append(s.all, disturbance{from: from, down: down})
	return from
}

// end ends the disturbance.
func (s *disturbances) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[len(s.all)-1].to = time.Now()
}

// due reports whether nodes have to follow a version that was acknowledged at a time, or zero, when they get a request that is
// sent at another.
func (s *disturbances) due(acknowledged, sent time.Time) bool {
	if acknowledged.IsZero() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	disturbed := slices.ContainsFunc(s.all, func(d disturbance) bool { return d.overlaps(sent.Add(-steadyTime), sent) })
	if !disturbed {
		return sent.Sub(acknowledged) > applyBound
	}
	down := slices.ContainsFunc(s.all, func(d disturbance) bool { return d.down && d.overlaps(acknowledged, sent) })
	return !down && sent.Sub(acknowledged) > applyBound+outerBound
}
