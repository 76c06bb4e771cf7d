package controller

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// lease is the local upstream's announcement. A lease without a service has lapsed.
type lease struct {
	announcement Announcement
	expires      time.Time
	warmAt       time.Time
	// leftInstance and leftUnixMs name the newest incarnation that has left. It gets no new work any more,
	// whatever is announced for it later.
	leftInstance string
	leftUnixMs   int64
}

// outdates tells whether an announcement is older than what is known.
func (l *lease) outdates(a Announcement) bool {
	known := l.announcement
	if a.StartedUnixMs < known.StartedUnixMs {
		return true
	}
	sameIncarnation := a.Instance == known.Instance && a.StartedUnixMs == known.StartedUnixMs
	return sameIncarnation && a.Sequence != 0 && a.Sequence <= known.Sequence
}

// startOf returns the start of an incarnation that does not tell it. Of an unknown one it is only known
// that it started before now.
func (l *lease) startOf(instance string) int64 {
	if instance == l.announcement.Instance {
		return l.announcement.StartedUnixMs
	}
	return time.Now().UnixMilli()
}

// leave notes that an incarnation has left.
func (l *lease) leave(instance string, startedUnixMs int64) {
	l.leftInstance, l.leftUnixMs = instance, startedUnixMs
}

// hasLeft tells whether an incarnation has left. Without a start time the identity alone decides.
func (l *lease) hasLeft(instance string, startedUnixMs int64) bool {
	return l.leftInstance != "" && l.leftInstance == instance && startedUnixMs <= l.leftUnixMs
}

// draining tells whether the announced upstream takes no new work.
func (l *lease) draining() bool {
	a := l.announcement
	return a.Draining || l.hasLeft(a.Instance, a.StartedUnixMs)
}

// lapse forgets the announcement, but not who has left nor the order of announcements.
func (l *lease) lapse() {
	a := l.announcement
	l.announcement = Announcement{Instance: a.Instance, StartedUnixMs: a.StartedUnixMs, Sequence: a.Sequence}
}

// recall takes over what an earlier process of this node has promised.
func (l *lease) recall(m *schema.Member) {
	if m.UpstreamLeft {
		l.leave(m.Instance, m.InstanceUnixMs)
	}
}

// local returns the upstream beside the node, or nil. The connection limit serves where none was announced.
func (l *lease) local(drained bool, connectionLimit int) *router.Local {
	a := l.announcement
	if a.Service == "" {
		return nil
	}
	connections := a.Connections
	if connections == 0 {
		connections = max(connectionLimit, a.Slots)
	}
	return &router.Local{Service: a.Service, Version: a.Version, Address: a.Address, Slots: a.Slots, Connections: connections,
		Draining: drained || l.draining(), WarmAt: l.warmAt, Instance: a.Instance}
}
