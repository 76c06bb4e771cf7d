package controller

import "time"

const (
	// readWait is how long a read of the log waits for new records. It bounds the time after which the loss of
	// the log, or of a reader, shows.
	readWait = time.Second
	// minReadAdvance is the least progress of news of the log that is passed on to neighbours.
	minReadAdvance = 700 * time.Millisecond
	// maxFreshAge is the age up to which news of the log from a neighbour is as good as a read of one's own.
	maxFreshAge = 3 * time.Second
	// hopAllowance is added to the age of news with each hop, so that news that goes around does not grow younger by
	// the time on the way.
	hopAllowance = 20 * time.Millisecond
	// takeoverAge is the age of the newest news of the log at which the first standby reads it: one wait and
	// the time in which the news of it passes through the mesh.
	takeoverAge = readWait + 400*time.Millisecond
	// standbyStep spreads the standbys, so that one that succeeds keeps the others from reading.
	standbyStep = 100 * time.Millisecond
	// firstStandbys follow each other by standbyStep, all others by farStandbyStep: where none of the first ones
	// reaches the log, most others won't either.
	firstStandbys    = 16
	laterStandbyStep = 500 * time.Millisecond
	// standbyTerm is how long a standby reads after it has taken over.
	standbyTerm = 10 * time.Second
)

// freshness tells when the log was read last, by any node of which news has come. The zero value knows of no read.
type freshness struct {
	readAt time.Time
}

// observe takes in that the log was read at a time. It reports whether neighbours should be told.
func (f *freshness) observe(readAt time.Time) bool {
	if !readAt.After(f.readAt) {
		return false
	}
	significant := readAt.Sub(f.readAt) >= minReadAdvance
	f.readAt = readAt
	return significant
}

// isKnown tells whether any read of the log has been heard of.
func (f *freshness) isKnown() bool { return !f.readAt.IsZero() }

// age returns the time since the last read that was heard of.
func (f *freshness) age(now time.Time) time.Duration { return now.Sub(f.readAt) }

// isFresh tells whether the newest position that was heard of is that of the log.
func (f *freshness) isFresh(now time.Time) bool { return f.isKnown() && f.age(now) <= maxFreshAge }

// String returns the age for a log line.
func (f *freshness) String() string {
	if !f.isKnown() {
		return "none"
	}
	return time.Since(f.readAt).Round(time.Millisecond).String()
}

// encode returns the age as it is told to neighbours: milliseconds plus one, or 0 if no read is known.
func (f *freshness) encode(now time.Time) uint32 {
	if !f.isKnown() {
		return 0
	}
	return uint32(max(f.age(now), 0)/time.Millisecond) + 1
}

// decodeReadTime returns the time of the read that a neighbour has told the age of.
func decodeReadTime(ageMs uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMs-1)*time.Millisecond - hopAllowance)
}

// standbyDelay returns the age of the news at which the standby with a rank reads the log itself.
func standbyDelay(rank int) time.Duration {
	first := min(rank, firstStandbys)
	return takeoverAge + time.Duration(first)*standbyStep + time.Duration(rank-first)*laterStandbyStep
}
