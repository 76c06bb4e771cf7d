package controller

import "time"

// lossTerm is how long a node goes on reading once it has not just lost most of its links any more.
const lossTerm = 2 * time.Second

// readerRole decides whether a node reads the log itself. Normally only the designated readers do, a few in each
// availability zone; all other nodes get changes from their neighbours. Any node also reads while it has no link or
// lags for too long, and takes over as a standby, in the order of the ranks, when no recent read of the log is known. A node
// that has lost most of its links doesn't wait for that: what is left may be an island without a reader.
type readerRole struct {
	// standbyUntil is until when this node reads after it has taken over as a standby.
	standbyUntil time.Time
}

// readerInputs holds the inputs of shouldRead.
type readerInputs struct {
	// designated is true if the node is a designated reader of its zone.
	designated bool
	// standbyRank orders the standbys, from 0.
	standbyRank int
	ready       bool
	// links is the number of neighbours.
	links int
	// freshness is the newest known read of the log.
	freshness logFreshness
	// startedAt is when the node started; it counts as the last read while none is known.
	startedAt time.Time
	// lostMost is set if the node has just lost most of its links.
	lostMost bool
	// lag is how long the node has been behind its neighbours. Beyond lagTolerance it reads the log itself.
	lag, lagTolerance time.Duration
}

// shouldRead reports whether the node is to read the log now. A standby that takes over keeps reading for standbyTerm.
func (r *readerRole) shouldRead(in readerInputs, now time.Time) bool {
	if !in.ready {
		// Until the node is ready, the joiner reads the log.
		return false
	}
	if in.designated || in.links == 0 || in.lag > in.lagTolerance {
		return true
	}
	lastRead := in.startedAt
	if in.freshness.isKnown() {
		lastRead = in.freshness.readAt
	}
	switch {
	case now.Sub(lastRead) >= standbyDelay(in.standbyRank):
		r.standbyUntil = now.Add(standbyTerm)
	case in.lostMost && r.standbyUntil.Before(now.Add(lossTerm)):
		r.standbyUntil = now.Add(lossTerm)
	}
	return now.Before(r.standbyUntil)
}
