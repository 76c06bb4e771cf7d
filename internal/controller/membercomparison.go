package controller

import "time"

// memberComparison decides when a link's end sends the bucket digests of its members, by which the neighbour finds what to send. It has no
// clock.
type memberComparison struct {
	// heartbeat is the interval of heartbeats.
	heartbeat time.Duration
	// differSince is when the neighbour's digest was first seen to differ; zero while they agree, and again once bucket digests were sent.
	differSince time.Time
	// compared is set once bucket digests were sent or the digests have agreed.
	compared bool
}

// isDue reports whether bucket digests have to be sent, after a heartbeat that says whether the digests differ. Updates in transit make
// tables differ briefly, so two heartbeats pass before. On a new link half a heartbeat passes: what the neighbour learned before the link
// was opened is not in transit.
func (c *memberComparison) isDue(differ bool, now time.Time) bool {
	if !differ {
		c.differSince, c.compared = time.Time{}, true
		return false
	}
	if c.differSince.IsZero() {
		c.differSince = now
	}
	wait := 2 * c.heartbeat
	if !c.compared {
		wait = c.heartbeat / 2
	}
	if now.Sub(c.differSince) < wait {
		return false
	}
	c.differSince, c.compared = time.Time{}, true
	return true
}
