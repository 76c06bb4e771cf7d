package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

// TestDownloadsOnAThinLink replays downloads of 90 KB, more than a link of 10 Mbit/s carries, beside short
// lookups: what is let in is in time, and lookups wait little for the link. Without the link's say the backlog only grows.
func TestDownloadsOnAThinLink(t *testing.T) {
	const (
		bytes   = 90_000
		service = 130 * time.Millisecond
		aim     = 800 * time.Millisecond
		seconds = 30
	)
	replay := func(limited bool) (carried, inTime int, worstWait time.Duration) {
		random := rand.New(rand.NewPCG(1, 2))
		l := admitter.Link{BytesPerSecond: 1.25e6}
		start := time.Unix(0, 0)
		ends := map[time.Time]int{}
		next := start
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
			for range ends[now] {
				l.Settle(bytes)
				done := now.Add(l.Wait(0, now) + l.Transfer(bytes))
				l.Sent(bytes, now)
				carried++
				if done.Sub(now) <= aim-service {
					inTime++
				}
			}
			worstWait = max(worstWait, l.Wait(service, now))
			for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / 24 * float64(time.Second))) {
				if limited && !l.Admits(admitter.Claim{}, bytes, service, now) {
					continue
				}
				l.Promise(bytes)
				ends[now.Add(service)]++
			}
		}
		return carried, inTime, worstWait
	}
	carried, inTime, wait := replay(true)
	_, inTimeBefore, waitBefore := replay(false)
	comment := qt.Commentf("in time %d of %d, worst wait %v; before %d, %v", inTime, carried, wait, inTimeBefore, waitBefore)
	qt.Assert(t, inTime, qt.Equals, carried, comment)
	qt.Assert(t, inTime > 2*inTimeBefore, qt.IsTrue, comment)
	qt.Assert(t, wait < 300*time.Millisecond && waitBefore > time.Second, qt.IsTrue, comment)
}

// lateReplay is what became of downloads on a link.
type lateReplay struct {
	inTime, late, refused int
}

// worth counts a late answer half.
func (r lateReplay) worth() float64 { return float64(r.inTime) + float64(r.late)/2 }

// replayLate replays downloads a tenth above what the link carries. A refused caller comes back until its deadline.
func replayLate(admits func(l *admitter.Link, c admitter.Claim, now time.Time) bool) lateReplay {
	const (
		bytes    = 90_000
		service  = 130 * time.Millisecond
		aim      = time.Second
		patience = 6 * time.Second
		comeback = time.Second
		rate     = 1.1 * 1.25e6 / bytes
		seconds  = 120
	)
	type call struct{ began time.Time }
	random := rand.New(rand.NewPCG(3, 4))
	l := &admitter.Link{BytesPerSecond: 1.25e6}
	start := time.Unix(0, 0)
	arrivals := map[time.Time][]call{}
	ends := map[time.Time][]call{}
	var r lateReplay
	next := start
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			arrivals[now] = append(arrivals[now], call{began: now})
		}
		for _, c := range ends[now] {
			l.Settle(bytes)
			done := now.Add(l.Wait(0, now) + l.Transfer(bytes))
			l.Sent(bytes, now)
			if done.Sub(c.began) <= aim {
				r.inTime++
			} else if done.Sub(c.began) <= patience {
				r.late++
			}
		}
		for _, c := range arrivals[now] {
			claim := admitter.Claim{MayWait: true, Aim: c.began.Add(aim), Deadline: c.began.Add(patience)}
			switch back := now.Add(comeback); {
			case admits(l, claim, now):
				l.Promise(bytes)
				ends[now.Add(service)] = append(ends[now.Add(service)], c)
			case back.Before(claim.Deadline):
				arrivals[back] = append(arrivals[back], c)
			default:
				r.refused++
			}
		}
		delete(arrivals, now)
		delete(ends, now)
	}
	return r
}

// TestLateDownloadsTakeWhatIsLeft replays a link that is a little short, with callers that come back: late ones are let
// in only where they make no one wait. Before, each was let in that could be done by its deadline, and most were late.
func TestLateDownloadsTakeWhatIsLeft(t *testing.T) {
	const bytes, service = 90_000, 130 * time.Millisecond
	now := replayLate(func(l *admitter.Link, c admitter.Claim, now time.Time) bool { return l.Admits(c, bytes, service, now) })
	before := replayLate(func(l *admitter.Link, c admitter.Claim, now time.Time) bool {
		done := now.Add(service + l.Wait(service, now) + l.Transfer(bytes))
		if c.Aim.After(now) {
			return !done.After(c.Aim)
		}
		return !done.After(c.Deadline)
	})
	comment := qt.Commentf("now %+v, before %+v", now, before)
	qt.Assert(t, now.inTime > 2*before.inTime, qt.IsTrue, comment)
	qt.Assert(t, now.worth() > 1.2*before.worth(), qt.IsTrue, comment)
}

// TestLinkAdmits asks a link on which half a second of bytes stands, for an answer that it needs 0.1 s for.
func TestLinkAdmits(t *testing.T) {
	const bytesPerSecond, bytes = 1e6, 1e5
	now := time.Unix(1000, 0)
	l := admitter.Link{BytesPerSecond: bytesPerSecond}
	l.Sent(bytesPerSecond/2, now)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	tests := []struct {
		name   string
		claim  admitter.Claim
		admits bool
	}{
		{"may not wait", admitter.Claim{Deadline: in(time.Minute)}, false},
		{"in time for its aim", admitter.Claim{MayWait: true, Aim: in(time.Second), Deadline: in(time.Minute)}, true},
		{"late for its aim", admitter.Claim{MayWait: true, Aim: in(time.Second / 2), Deadline: in(time.Minute)}, false},
		{"late already", admitter.Claim{MayWait: true, Aim: in(-time.Second), Deadline: in(time.Minute)}, false},
		{"without an aim", admitter.Claim{MayWait: true, Deadline: in(time.Minute)}, true},
		{"without an aim, too long", admitter.Claim{MayWait: true, Deadline: in(time.Second / 2)}, false},
		{"without any end", admitter.Claim{MayWait: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, l.Admits(test.claim, bytes, 0, now), qt.Equals, test.admits) })
	}
}

// TestLinkWithoutLimit carries everything.
func TestLinkWithoutLimit(t *testing.T) {
	var l admitter.Link
	now := time.Unix(0, 0)
	l.Promise(1e12)
	l.Sent(1<<40, now)
	qt.Assert(t, l.Admits(admitter.Claim{}, 1e12, 0, now), qt.IsTrue)
}
