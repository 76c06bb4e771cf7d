package controller

import "time"

// isolatedSearchDelay is the mean time from the loss of the last link to the first search for members; it doubles with each search that
// follows, up to the rejoin interval.
const isolatedSearchDelay = 400 * time.Millisecond

// memberSearch decides when a ready node looks in the log for members that it does not know. A node without a link looks again soon, so
// that readiness does not end the search: the nodes of a mesh that starts with an empty log may each have read it before the seed of
// another was saved. It has no clock.
type memberSearch struct {
	// interval is the time between two searches of a node that has links and this duty.
	interval time.Duration
	// next is when a node that has links and this duty searches.
	next time.Time
	// isolated is set while the node has no link.
	isolated bool
	// delay is the mean time to the next search of an isolated node, and isolatedNext its time.
	delay        time.Duration
	isolatedNext time.Time
}

// isDue reports whether the node has to search now, which it then does. assigned is set if the node has this duty; random is in [0, 1).
func (s *memberSearch) isDue(linked, assigned bool, random float64, now time.Time) bool {
	if linked {
		s.isolated = false
		if !assigned || now.Before(s.next) {
			return false
		}
		s.next = now.Add(s.interval)
		return true
	}
	if !s.isolated {
		s.isolated = true
		s.waitIsolated(isolatedSearchDelay, random, now)
		return false
	}
	if now.Before(s.isolatedNext) {
		return false
	}
	s.waitIsolated(min(2*s.delay, max(s.interval, isolatedSearchDelay)), random, now)
	return true
}

// waitIsolated sets the time of the next search of an isolated node.
func (s *memberSearch) waitIsolated(delay time.Duration, random float64, now time.Time) {
	s.delay = delay
	s.isolatedNext = now.Add(jittered(delay, random))
}

// jittered returns a duration from a half to one and a half of d.
func jittered(d time.Duration, random float64) time.Duration {
	return time.Duration((0.5 + random) * float64(d))
}
