package controller

import "time"

// readDuty decides whether a node reads the log itself. Normally only the designated readers do, a few in each
// availability zone; all other nodes get changes from their neighbours. Any node also reads while it has no link or
// lags for too long, and takes over as a standby, in the order of the ranks, when no recent read of the log is known.
type readDuty struct {
	// standbyUntil is until when this node reads after it has taken over as a standby.
	standbyUntil time.Time
}

// readSituation holds the inputs of the decision.
type readSituation struct {
	// holds is true if the node is a designated reader of its zone.
	holds bool
	// rank orders the standbys, from 0.
	rank  int
	ready bool
	// links is the number of neighbours.
	links int
	// news is the newest known read of the log.
	news freshness
	// since is when the node started; it counts as the last read while none is known.
	since time.Time
	// lag is how long the node has been behind its neighbours. Beyond patience it reads the log itself.
	lag, patience time.Duration
}

// decide reports whether the node is to read the log now. A standby that takes over keeps reading for standbyTerm.
func (d *readDuty) decide(s readSituation, now time.Time) bool {
	if !s.ready {
		// Until the node is ready, the joiner reads the log.
		return false
	}
	if s.holds || s.links == 0 || s.lag > s.patience {
		return true
	}
	lastRead := s.since
	if s.news.isKnown() {
		lastRead = s.news.readAt
	}
	if now.Sub(lastRead) >= standbyDelay(s.rank) {
		d.standbyUntil = now.Add(standbyTerm)
	}
	return now.Before(d.standbyUntil)
}
