package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadDuty decides in each situation once.
func TestReadDuty(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh, stale := freshness{readAt: now.Add(-readWait)}, freshness{readAt: now.Add(-standbyDelay(2))}
	tests := []struct {
		name  string
		s     readSituation
		reads bool
	}{
		{"holder", readSituation{holds: true, ready: true, links: 3, news: fresh}, true},
		{"starting", readSituation{holds: true, links: 3, news: stale}, false},
		{"fresh news", readSituation{ready: true, links: 3, news: fresh}, false},
		{"stale news", readSituation{rank: 2, ready: true, links: 3, news: stale}, true},
		{"stale news, the next standby", readSituation{rank: 3, ready: true, links: 3, news: stale}, false},
		{"alone", readSituation{ready: true, news: fresh}, true},
		{"no news yet", readSituation{ready: true, links: 3, since: now.Add(-time.Millisecond)}, false},
		{"behind for a while", readSituation{ready: true, links: 3, news: fresh, lag: 2, patience: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d readDuty
			qt.Assert(t, d.decide(test.s, now), qt.Equals, test.reads)
		})
	}
}

// TestStandbyStays keeps a standby that has taken over for its term, although its own reads make the news fresh.
func TestStandbyStays(t *testing.T) {
	now := time.Unix(1000, 0)
	var d readDuty
	s := readSituation{ready: true, links: 1, news: freshness{readAt: now.Add(-standbyDelay(0))}}
	qt.Assert(t, d.decide(s, now), qt.IsTrue)
	s.news.readAt = now.Add(standbyTerm)
	qt.Assert(t, d.decide(s, now.Add(standbyTerm-1)), qt.IsTrue)
	qt.Assert(t, d.decide(s, now.Add(standbyTerm)), qt.IsFalse)
}

// TestNewsDoesNotGrowYounger passes news around between two nodes: without a read its age grows.
func TestNewsDoesNotGrowYounger(t *testing.T) {
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
