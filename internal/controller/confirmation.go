package controller

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/settings"
)

// provisionalTime is how long after the start of a process an upstream gets calls without being confirmed. When many nodes restart,
// nearly all upstreams are there still, and a call to one that has left is better than none at all. It outlasts an upstream's first
// two announcements, and ends before the platform holds the node to what its earlier process has acknowledged.
const provisionalTime = 2500 * time.Millisecond

// confirmation decides whether an announcement shows that its upstream has not left. A process remembers the leaves that it has
// acknowledged, but not those of an earlier process of its node that could save them nowhere. An announcement that was sent
// before such a leave may arrive late, so that only one that is known to be sent after the start of this process counts.
type confirmation struct {
	// firstStart means that no process of this node has run before.
	firstStart bool
	// startedAt is the start of this process.
	startedAt time.Time
	// renewal is what an upstream returns in an announcement to show that it is sent after this process has answered an
	// earlier one. It differs from that of earlier processes and is not 0.
	renewal uint32
	// maxDelay is how late an announcement may arrive.
	maxDelay time.Duration

	// confirmed is the newest incarnation that has been confirmed, or the zero value.
	confirmed balancer.Incarnation
	// pending is the newest incarnation that has been announced but not confirmed, or the zero value. lastSequence and lastAt
	// are the highest sequence of its announcements and the arrival of that one. From announcedAt on, announcements with rising
	// sequences have followed each other within maxDelay.
	pending      balancer.Incarnation
	lastSequence uint64
	lastAt       time.Time
	announcedAt  time.Time
}

// newConfirmation returns the confirmation of a process that starts now.
func newConfirmation(s settings.Node, now time.Time) confirmation {
	return confirmation{firstStart: s.FirstStart, startedAt: now, renewal: 1 + rand.Uint32N(math.MaxUint32), maxDelay: s.Lease}
}

// confirms records an announcement and reports whether its upstream is confirmed. One that names no incarnation always is: its
// leave is not remembered either.
func (c *confirmation) confirms(a Announcement, now time.Time) bool {
	i := a.incarnation()
	if a.Instance == "" || c.firstStart || i == c.confirmed ||
		startedLater(a.StartedUnixMs, c.startedAt, now, now.Sub(c.startedAt)) {
		return true
	}
	if i != c.pending {
		if i.StartedUnixMs >= c.pending.StartedUnixMs {
			c.pending, c.lastSequence, c.lastAt, c.announcedAt = i, a.Sequence, now, now
		}
		return false
	}
	if a.Sequence != 0 && a.Sequence <= c.lastSequence {
		return false
	}
	if now.Sub(c.lastAt) >= c.maxDelay {
		c.announcedAt = now
	}
	c.lastSequence, c.lastAt = a.Sequence, now
	if a.Renewal != c.renewal && now.Sub(c.announcedAt) < c.maxDelay {
		return false
	}
	c.confirmed, c.pending = i, balancer.Incarnation{}
	return true
}

// startedLater reports whether an upstream that started at a time, by the clock of the VM, has started later than this process, so that no
// earlier process can have acknowledged its leave. The clock may have been set since the start of the process, wallStart by the clock
// of then: the later of that and of the start by the clock of now counts.
func startedLater(startedUnixMs int64, wallStart, wallNow time.Time, uptime time.Duration) bool {
	return startedUnixMs > max(wallStart.UnixMilli(), wallNow.Add(-uptime).UnixMilli())
}

// acceptsUnconfirmed reports whether an upstream still gets calls although it is not confirmed.
func (c *confirmation) acceptsUnconfirmed(now time.Time) bool {
	return now.Sub(c.startedAt) < provisionalTime
}
