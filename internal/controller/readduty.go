package controller

import "time"

// readDuty decides whether a node reads the log itself. Where all is well only the holders do, a few of each
// availability zone; every other node hears of changes from its neighbours.
type readDuty struct {
	// standbyUntil is the end of the term of a standby that has taken over.
	standbyUntil time.Time
}

// readSituation is what the decision depends on.
type readSituation struct {
	// holds tells that the node is one of its zone's readers.
	holds bool
	// rank orders the standbys, first 0.
	rank  int
	ready bool
	// links is the number of neighbours.
	links int
	// news is that of the log's reads.
	news freshness
	// since is when the node started; before any news has come it counts in the place of a read.
	since time.Time
	// lag is how long the node has lacked what it has heard of, and patience how much of it neighbours are given.
	lag, patience time.Duration
}

// decide tells whether the node reads the log now.
func (d *readDuty) decide(s readSituation, now time.Time) bool {
	if !s.ready {
		// The joiner looks into the log for a node that starts.
		return false
	}
	if s.holds || s.links == 0 || s.lag > s.patience {
		return true
	}
	heard := s.since
	if s.news.isKnown() {
		heard = s.news.readAt
	}
	if now.Sub(heard) >= standbyDelay(s.rank) {
		d.standbyUntil = now.Add(standbyTerm)
	}
	return now.Before(d.standbyUntil)
}
