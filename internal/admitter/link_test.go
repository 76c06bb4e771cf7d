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

// TestLinkWithoutLimit carries everything.
func TestLinkWithoutLimit(t *testing.T) {
	var l admitter.Link
	now := time.Unix(0, 0)
	l.Promise(1e12)
	l.Sent(1<<40, now)
	qt.Assert(t, l.Admits(admitter.Claim{}, 1e12, 0, now), qt.IsTrue)
}
