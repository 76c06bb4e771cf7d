package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReaderRole checks which nodes read the log.
func TestReaderRole(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh, stale := logFreshness{readAt: now.Add(-readWait)}, logFreshness{readAt: now.Add(-standbyDelay(2))}
	tests := []struct {
		name  string
		in    readerInputs
		reads bool
	}{
		{"designated reader", readerInputs{designated: true, ready: true, links: 3, freshness: fresh}, true},
		{"starting", readerInputs{designated: true, links: 3, freshness: stale}, false},
		{"recent read", readerInputs{ready: true, links: 3, freshness: fresh}, false},
		{"old read", readerInputs{standbyRank: 2, ready: true, links: 3, freshness: stale}, true},
		{"old read, next standby", readerInputs{standbyRank: 3, ready: true, links: 3, freshness: stale}, false},
		{"no links", readerInputs{ready: true, freshness: fresh}, true},
		{"no known read yet", readerInputs{ready: true, links: 3, startedAt: now.Add(-time.Millisecond)}, false},
		{"most links lost", readerInputs{standbyRank: 50, ready: true, links: 1, freshness: fresh, lostMost: true}, true},
		{"lagging", readerInputs{ready: true, links: 3, freshness: fresh, lag: 2, lagTolerance: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r readerRole
			qt.Assert(t, r.shouldRead(test.in, now), qt.Equals, test.reads)
		})
	}
}

// TestStandbyReadsForItsTerm checks that a standby that has taken over reads for its whole term, although its own reads
// bring the newest known read up to date.
func TestStandbyReadsForItsTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	var r readerRole
	in := readerInputs{ready: true, links: 1, freshness: logFreshness{readAt: now.Add(-standbyDelay(0))}}
	qt.Assert(t, r.shouldRead(in, now), qt.IsTrue)
	in.freshness.readAt = now.Add(standbyTerm)
	qt.Assert(t, r.shouldRead(in, now.Add(standbyTerm-1)), qt.IsTrue)
	qt.Assert(t, r.shouldRead(in, now.Add(standbyTerm)), qt.IsFalse)
}

// TestReadsAfterLossOfMostLinks checks that a node that has lost most of its links reads for lossTerm after that, and that a longer term as a
// standby is not cut short.
func TestReadsAfterLossOfMostLinks(t *testing.T) {
	now := time.Unix(1000, 0)
	lost := readerInputs{ready: true, links: 1, freshness: logFreshness{readAt: now}, lostMost: true}
	calm := readerInputs{ready: true, links: 1, freshness: logFreshness{readAt: now.Add(standbyTerm)}}
	var r readerRole
	qt.Assert(t, r.shouldRead(lost, now), qt.IsTrue)
	qt.Assert(t, r.shouldRead(calm, now.Add(lossTerm-1)), qt.IsTrue)
	qt.Assert(t, r.shouldRead(calm, now.Add(lossTerm)), qt.IsFalse)
	standby := readerRole{standbyUntil: now.Add(standbyTerm)}
	qt.Assert(t, standby.shouldRead(lost, now), qt.IsTrue)
	qt.Assert(t, standby.shouldRead(calm, now.Add(standbyTerm-1)), qt.IsTrue)
}

// TestReadAgeDoesNotShrinkInTransit passes the time of a read from node to node: without a further read its age must
// grow, although reported ages leave out the transit time.
func TestReadAgeDoesNotShrinkInTransit(t *testing.T) {
	const hops, transit = 200, 10 * time.Millisecond
	now := time.Unix(1000, 0)
	freshness := logFreshness{readAt: now}
	for range hops {
		encoded := freshness.encode(now)
		now = now.Add(transit)
		var other logFreshness
		other.observe(decodeReadTime(encoded, now))
		freshness = other
	}
	qt.Assert(t, freshness.age(now) >= hops*transit/2, qt.IsTrue,
		qt.Commentf("age %v after %v", freshness.age(now), hops*transit))
}
