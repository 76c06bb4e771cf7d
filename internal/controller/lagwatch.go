package controller

import "time"

// pullGrace is how long a node that reads the log itself may lag behind a neighbour before it pulls from it. In a burst
// of changes some nodes are one read behind at any moment, and catch up by themselves.
const pullGrace = 700 * time.Millisecond

// lagWatch measures how long a node has been behind its neighbours. The zero value is ready to use.
type lagWatch struct {
	// target is a position reported by a neighbour at since and not reached by this node; zero if there is none.
	target uint64
	since  time.Time
}

// lag returns how long the node, at position own, has been behind the target, or 0 if it has reached it. The highest
// reported position, heard, becomes the target when there is none.
func (w *lagWatch) lag(own, heard uint64, now time.Time) time.Duration {
	if w.target <= own {
		w.target = 0
	}
	if heard > own && w.target == 0 {
		w.target, w.since = heard, now
	}
	if w.target == 0 {
		return 0
	}
	return now.Sub(w.since)
}
