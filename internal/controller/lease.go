package controller

import (
	"slices"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// lease is the local upstream's announcement with its expiry. Without a service there is none, or it has expired.
type lease struct {
	announcement Announcement
	expiresAt    time.Time
	// announcedAt is when the announcement arrived.
	announcedAt time.Time
	// provisional is set while the announced upstream is not confirmed to have stayed; see confirmation.
	provisional bool
	// warmAt is the end of the upstream's cold start, as other nodes are told.
	warmAt time.Time
	// coldUntil is the end of the cold start by the last announcement. Announcements arrive late, never early, so the
	// cold start does not end later, unless another one begins.
	coldUntil time.Time
	// leaves holds the incarnations that have left, the last one last, at most maxLeaves. They get no new work, even if they are
	// announced again. An incarnation with a later start is another one.
	leaves []balancer.Incarnation
}

// maxLeaves is the number of leaves that are remembered: those of the upstreams of which late announcements may still arrive.
const maxLeaves = 8

// isStale reports whether an announcement is older than the known one, or a duplicate of it.
func (l *lease) isStale(a Announcement) bool {
	known := l.announcement
	if a.StartedUnixMs < known.StartedUnixMs {
		return true
	}
	sameIncarnation := a.Instance == known.Instance && a.StartedUnixMs == known.StartedUnixMs
	return sameIncarnation && a.Sequence != 0 && a.Sequence <= known.Sequence
}

// startTime returns the start of an incarnation in Unix milliseconds, for a withdrawal that does not give it. For an
// incarnation that was not announced it is the current time, the latest possible start.
func (l *lease) startTime(instance string) int64 {
	if instance == l.announcement.Instance {
		return l.announcement.StartedUnixMs
	}
	return time.Now().UnixMilli()
}

// markLeft records that an incarnation has left.
func (l *lease) markLeft(instance string, startedUnixMs int64) {
	l.leaves = append(l.leaves, balancer.Incarnation{Instance: instance, StartedUnixMs: startedUnixMs})
	l.leaves = l.leaves[max(0, len(l.leaves)-maxLeaves):]
}

// hasLeft reports whether an incarnation has left. Without a start time, only the identity is compared.
func (l *lease) hasLeft(instance string, startedUnixMs int64) bool {
	return slices.ContainsFunc(l.leaves, func(i balancer.Incarnation) bool {
		return i.Instance == instance && startedUnixMs <= i.StartedUnixMs
	})
}

// lastLeave returns the incarnation that has left last, or the zero value.
func (l *lease) lastLeave() balancer.Incarnation {
	if len(l.leaves) == 0 {
		return balancer.Incarnation{}
	}
	return l.leaves[len(l.leaves)-1]
}

// draining reports whether the announced upstream accepts no new work.
func (l *lease) draining() bool {
	a := l.announcement
	return a.Draining || l.hasLeft(a.Instance, a.StartedUnixMs)
}

// coldStartTolerance is how much later than known an announced cold start has to end to be taken over. Announcements
// arrive late by varying times, and each change is sent to all nodes.
const coldStartTolerance = time.Second

// extendColdStart applies the remaining cold start of an announcement. An upstream may become cold again while it runs.
func (l *lease) extendColdStart(remaining time.Duration, now time.Time) {
	end := now.Add(remaining)
	if remaining > 0 && end.Sub(l.warmAt) > coldStartTolerance {
		l.warmAt = end
	}
}

// clearAnnouncement removes the announcement, but keeps which incarnation has left, and what isStale compares.
func (l *lease) clearAnnouncement() {
	a := l.announcement
	l.announcement = Announcement{Instance: a.Instance, StartedUnixMs: a.StartedUnixMs, Sequence: a.Sequence}
}

// restoreLeave restores from this node's own member which incarnation an earlier process has recorded as left, before those that
// this process has recorded. It reports whether that was not known.
func (l *lease) restoreLeave(m *schema.Member) bool {
	if !m.UpstreamLeft || m.Instance == "" || l.hasLeft(m.Instance, m.InstanceUnixMs) || len(l.leaves) == maxLeaves {
		return false
	}
	l.leaves = slices.Insert(l.leaves, 0, balancer.Incarnation{Instance: m.Instance, StartedUnixMs: m.InstanceUnixMs})
	return true
}

// local returns the local upstream, or nil. connectionLimit applies if the upstream announced no limit, but never below
// its slots.
func (l *lease) local(drained bool, connectionLimit int) *router.Local {
	a := l.announcement
	if a.Service == "" {
		return nil
	}
	connections := a.Connections
	if connections == 0 {
		connections = max(connectionLimit, a.Slots)
	}
	return &router.Local{Service: a.Service, Version: a.Version, Address: a.Address, Slots: a.Slots,
		Connections: connections, Draining: drained || l.draining(), WarmAt: l.warmAt, ColdUntil: l.coldUntil,
		AnnouncedAt: l.announcedAt, Instance: a.Instance, StartedUnixMs: a.StartedUnixMs}
}
