package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// coldStart tells whether the local upstream is cold, and how many calls it may get then. The upstream announces its cold
// start to its node at intervals. Where the last announcement may be out of date, a cold start is assumed until the next.
//
// It answers the load of many upstreams that come back at once, while all nodes look for room.
type coldStart struct {
	// perSecond is the limit in calls per second; 0 means none.
	perSecond float64
	// length is how long a cold start lasts.
	length time.Duration
	// announcedUntil is the end of the cold start as announced at announcedAt.
	announcedUntil time.Time
	announcedAt    time.Time
	// assumedAt is when a cold start was last assumed to begin; zero if it never was.
	assumedAt time.Time
	// evacuated reports whether the upstream's availability zone was evacuated when last observed.
	evacuated bool
}

// withUpstream returns the cold start after an update of the local upstream, which may be nil. An upstream whose zone is
// back in service has run no calls for a while, and is assumed to be cold.
func (c coldStart) withUpstream(l *router.Local, now time.Time) coldStart {
	if l == nil {
		return c
	}
	if c.evacuated && !l.Evacuated {
		c.assumedAt = now
	}
	c.perSecond, c.length = l.ColdCallsPerSecond, l.ColdStart
	c.announcedUntil, c.announcedAt = l.ColdUntil, l.AnnouncedAt
	c.evacuated = l.Evacuated
	return c
}

// withUnreachable returns the cold start after the upstream has refused a connection: if it accepts one again, it has
// started anew.
func (c coldStart) withUnreachable(now time.Time) coldStart {
	c.assumedAt = now
	return c
}

// end returns when the cold start ends or has ended.
func (c coldStart) end() time.Time {
	assumed := c.assumedAt.Add(c.length)
	if c.assumedAt.After(c.announcedAt) && assumed.After(c.announcedUntil) {
		return assumed
	}
	return c.announcedUntil
}

// limits reports whether the cold start limits the calls to the upstream now.
func (c coldStart) limits(now time.Time) bool { return c.perSecond > 0 && now.Before(c.end()) }

// limit returns a condition whose rate limit is the lower of the stated one and that of the cold start.
func (c coldStart) limit(stated UpstreamCondition, now time.Time) UpstreamCondition {
	if !c.limits(now) || stated.Limited && stated.RateLimit <= c.perSecond {
		return stated
	}
	stated.Limited, stated.RateLimit = true, c.perSecond
	return stated
}
