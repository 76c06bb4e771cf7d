package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

// pullGrace is how long a node that reads the log itself may lag behind a neighbour before it pulls from it. In a burst
// of changes some nodes are one read behind at any moment, and catch up by themselves.
const pullGrace = 700 * time.Millisecond

// lagTracker measures how long a node has been behind its neighbours. The zero value is ready to use.
type lagTracker struct {
	// target is a position that a neighbour reported at behindSince and that this node has not reached; 0 if none.
	target      reducer.Position
	behindSince time.Time
}

// lag returns how long the node, at position own, has been behind the target, or 0 if it has reached it. When there is
// no target, the neighbours' highest reported position becomes the target.
func (t *lagTracker) lag(own, reported reducer.Position, now time.Time) time.Duration {
	if t.target <= own {
		t.target = 0
	}
	if reported > own && t.target == 0 {
		t.target, t.behindSince = reported, now
	}
	if t.target == 0 {
		return 0
	}
	return now.Sub(t.behindSince)
}
