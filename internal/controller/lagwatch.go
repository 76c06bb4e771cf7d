package controller

import "time"

// pullGrace is how long a node that reads the log itself waits for what a neighbour has already, before it asks the
// neighbour: it answers changes in quick succession, when at any moment some nodes are a read behind.
const pullGrace = 700 * time.Millisecond

// lagWatch tells for how long a node has lacked what neighbours have. The zero value is ready.
type lagWatch struct {
	// target is a position that was heard of and not reached at since; zero if there is none.
	target uint64
	since  time.Time
}

// lag returns for how long the node has been behind a position that it heard of before it reached its own one.
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
