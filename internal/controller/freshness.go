package controller

import "time"

const (
	// readWait is the long-poll time of a log read. It bounds how long the loss of the log, or of a reader, goes
	// unnoticed.
	readWait = time.Second
	// minReadAdvance is how much later a read of the log must be than the last known one to be passed on at once.
	minReadAdvance = 700 * time.Millisecond
	// maxFreshAge is the age up to which a read reported by a neighbour counts as much as one of this node.
	maxFreshAge = 3 * time.Second
	// hopAllowance is added to the age of a read at each hop. Reported ages leave out the transit time, so a read that
	// is passed around would otherwise seem to get younger.
	hopAllowance = 20 * time.Millisecond
	// takeoverAge is the age of the newest known read at which the first standby takes over: one long poll and the
	// time in which the read becomes known throughout the mesh.
	takeoverAge = readWait + 400*time.Millisecond
	// standbyStep staggers the standbys, so that the first one that succeeds keeps the others from reading.
	standbyStep = 100 * time.Millisecond
	// firstStandbys is the number of standbys that are standbyStep apart; all others are laterStandbyStep apart, since
	// most of them won't reach the log either if none of the first ones does.
	firstStandbys    = 16
	laterStandbyStep = 500 * time.Millisecond
	// standbyTerm is how long a standby keeps reading after it has taken over.
	standbyTerm = 10 * time.Second
)

// logFreshness holds the time of the newest known read of the log, by this node or another. In the zero value none is
// known.
type logFreshness struct {
	readAt time.Time
}

// observe records a read of the log. It reports whether the read is late enough to be passed on to neighbours at once.
func (f *logFreshness) observe(readAt time.Time) bool {
	if !readAt.After(f.readAt) {
		return false
	}
	significant := readAt.Sub(f.readAt) >= minReadAdvance
	f.readAt = readAt
	return significant
}

// isKnown reports whether any read of the log is known.
func (f *logFreshness) isKnown() bool { return !f.readAt.IsZero() }

// age returns the time since the newest known read.
func (f *logFreshness) age(now time.Time) time.Duration { return now.Sub(f.readAt) }

// isFresh reports whether the log was read within maxFreshAge, so that the newest position known counts as the log's.
func (f *logFreshness) isFresh(now time.Time) bool { return f.isKnown() && f.age(now) <= maxFreshAge }

// String returns the age for log lines, or "none".
func (f *logFreshness) String() string {
	if !f.isKnown() {
		return "none"
	}
	return time.Since(f.readAt).Round(time.Millisecond).String()
}

// encode returns the age as sent in heartbeats: milliseconds plus one, or 0 if no read is known.
func (f *logFreshness) encode(now time.Time) uint32 {
	if !f.isKnown() {
		return 0
	}
	return uint32(max(f.age(now), 0)/time.Millisecond) + 1
}

// decodeReadTime returns the time of a read from the non-zero age in a neighbour's heartbeat.
func decodeReadTime(ageMs uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMs-1)*time.Millisecond - hopAllowance)
}

// standbyDelay returns the age of the newest known read at which the standby of a rank, from 0, takes over.
func standbyDelay(rank int) time.Duration {
	first := min(rank, firstStandbys)
	return takeoverAge + time.Duration(first)*standbyStep + time.Duration(rank-first)*laterStandbyStep
}
