package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadDuty checks the decision for each situation.
func TestReadDuty(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh, stale := freshness{readAt: now.Add(-readWait)}, freshness{readAt: now.Add(-standbyDelay(2))}
	tests := []struct {
		name  string
		s     readSituation
		reads bool
	}{
		{"designated reader", readSituation{holds: true, ready: true, links: 3, news: fresh}, true},
		{"starting", readSituation{holds: true, links: 3, news: stale}, false},
		{"recent read", readSituation{ready: true, links: 3, news: fresh}, false},
		{"old read", readSituation{rank: 2, ready: true, links: 3, news: stale}, true},
		{"old read, next standby", readSituation{rank: 3, ready: true, links: 3, news: stale}, false},
		{"no links", readSituation{ready: true, news: fresh}, true},
		{"no known read yet", readSituation{ready: true, links: 3, since: now.Add(-time.Millisecond)}, false},
		{"lagging", readSituation{ready: true, links: 3, news: fresh, lag: 2, patience: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d readDuty
			qt.Assert(t, d.decide(test.s, now), qt.Equals, test.reads)
		})
	}
}

// TestStandbyReadsForItsTerm checks that a standby that has taken over reads for its whole term, although its own reads
// bring the newest known read up to date.
func TestStandbyReadsForItsTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	var d readDuty
	s := readSituation{ready: true, links: 1, news: freshness{readAt: now.Add(-standbyDelay(0))}}
	qt.Assert(t, d.decide(s, now), qt.IsTrue)
	s.news.readAt = now.Add(standbyTerm)
	qt.Assert(t, d.decide(s, now.Add(standbyTerm-1)), qt.IsTrue)
	qt.Assert(t, d.decide(s, now.Add(standbyTerm)), qt.IsFalse)
}

// TestReadAgeDoesNotShrinkInTransit passes the time of a read from node to node: without a further read its age must
// grow, although reported ages leave out the transit time.
func TestReadAgeDoesNotShrinkInTransit(t *testing.T) {
	const hops, transit = 200, 10 * time.Millisecond
	now := time.Unix(1000, 0)
	news := freshness{readAt: now}
	for range hops {
		encoded := news.encode(now)
		now = now.Add(transit)
		var other freshness
		other.observe(decodeReadTime(encoded, now))
		news = other
	}
	qt.Assert(t, news.age(now) >= hops*transit/2, qt.IsTrue, qt.Commentf("age %v after %v", news.age(now), hops*transit))
}
