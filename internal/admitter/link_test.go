package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

// TestLargeResponsesOnSlowLink offers more responses of 90 KB than a link of 10 Mbit/s carries. Admitted ones are in
// time, and the queueing delay, which short responses on the link also see, stays low. Without admission control the
// backlog only grows.
func TestLargeResponsesOnSlowLink(t *testing.T) {
	const (
		bytes   = 90_000
		service = 130 * time.Millisecond
		target  = 800 * time.Millisecond
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
				l.Release(bytes)
				done := now.Add(l.QueueDelay(0, now) + l.TransferTime(bytes))
				l.RecordSent(bytes, now)
				carried++
				if done.Sub(now) <= target-service {
					inTime++
				}
			}
			worstWait = max(worstWait, l.QueueDelay(service, now))
			for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / 24 * float64(time.Second))) {
				if limited && !l.Admits(admitter.Request{}, bytes, service, now) {
					continue
				}
				l.Reserve(bytes)
				ends[now.Add(service)]++
			}
		}
		return carried, inTime, worstWait
	}
	carried, inTime, wait := replay(true)
	_, inTimeUnlimited, waitUnlimited := replay(false)
	comment := qt.Commentf("in time %d of %d, worst wait %v; without admission %d, %v",
		inTime, carried, wait, inTimeUnlimited, waitUnlimited)
	qt.Assert(t, inTime, qt.Equals, carried, comment)
	qt.Assert(t, inTime > 2*inTimeUnlimited, qt.IsTrue, comment)
	qt.Assert(t, wait < 300*time.Millisecond && waitUnlimited > time.Second, qt.IsTrue, comment)
}

// replayResult counts the simulated calls by result.
type replayResult struct {
	inTime, late, refused int
}

// value is the score of a run, in which a late response counts half.
func (r replayResult) value() float64 { return float64(r.inTime) + float64(r.late)/2 }

// replayWithRetries offers 10 % more responses than the link carries. A refused caller retries until its deadline.
func replayWithRetries(admits func(l *admitter.Link, r admitter.Request, now time.Time) bool) replayResult {
	const (
		bytes         = 90_000
		service       = 130 * time.Millisecond
		target        = time.Second
		callerTimeout = 6 * time.Second
		retryDelay    = time.Second
		rate          = 1.1 * 1.25e6 / bytes
		seconds       = 120
	)
	type call struct{ began time.Time }
	random := rand.New(rand.NewPCG(3, 4))
	l := &admitter.Link{BytesPerSecond: 1.25e6}
	start := time.Unix(0, 0)
	arrivals := map[time.Time][]call{}
	ends := map[time.Time][]call{}
	var r replayResult
	next := start
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			arrivals[now] = append(arrivals[now], call{began: now})
		}
		for _, c := range ends[now] {
			l.Release(bytes)
			done := now.Add(l.QueueDelay(0, now) + l.TransferTime(bytes))
			l.RecordSent(bytes, now)
			if done.Sub(c.began) <= target {
				r.inTime++
			} else if done.Sub(c.began) <= callerTimeout {
				r.late++
			}
		}
		for _, c := range arrivals[now] {
			request := admitter.Request{MayQueue: true, Target: c.began.Add(target), Deadline: c.began.Add(callerTimeout)}
			switch retryAt := now.Add(retryDelay); {
			case admits(l, request, now):
				l.Reserve(bytes)
				ends[now.Add(service)] = append(ends[now.Add(service)], c)
			case retryAt.Before(request.Deadline):
				arrivals[retryAt] = append(arrivals[retryAt], c)
			default:
				r.refused++
			}
		}
		delete(arrivals, now)
		delete(ends, now)
	}
	return r
}

// TestLateResponsesTakeSpareBandwidth overloads a link slightly, with callers that retry. Calls past their latency
// target are admitted only if they delay no one. The baseline admits every late call that can meet its deadline, which
// makes most responses late.
func TestLateResponsesTakeSpareBandwidth(t *testing.T) {
	const bytes, service = 90_000, 130 * time.Millisecond
	got := replayWithRetries(func(l *admitter.Link, r admitter.Request, now time.Time) bool {
		return l.Admits(r, bytes, service, now)
	})
	baseline := replayWithRetries(func(l *admitter.Link, r admitter.Request, now time.Time) bool {
		done := now.Add(service + l.QueueDelay(service, now) + l.TransferTime(bytes))
		if r.Target.After(now) {
			return !done.After(r.Target)
		}
		return !done.After(r.Deadline)
	})
	comment := qt.Commentf("got %+v, baseline %+v", got, baseline)
	qt.Assert(t, got.inTime > 2*baseline.inTime, qt.IsTrue, comment)
	qt.Assert(t, got.value() > 1.2*baseline.value(), qt.IsTrue, comment)
}

// TestLinkAdmits asks a link with a backlog of 0.5 s to carry a response that takes 0.1 s to transmit.
func TestLinkAdmits(t *testing.T) {
	const bytesPerSecond, bytes = 1e6, 1e5
	now := time.Unix(1000, 0)
	l := admitter.Link{BytesPerSecond: bytesPerSecond}
	l.RecordSent(bytesPerSecond/2, now)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	tests := []struct {
		name    string
		request admitter.Request
		admits  bool
	}{
		{"may not queue", admitter.Request{Deadline: in(time.Minute)}, false},
		{"in time for its target", admitter.Request{MayQueue: true, Target: in(time.Second), Deadline: in(time.Minute)}, true},
		{"too late for its target", admitter.Request{MayQueue: true, Target: in(time.Second / 2), Deadline: in(time.Minute)}, false},
		{"past its target", admitter.Request{MayQueue: true, Target: in(-time.Second), Deadline: in(time.Minute)}, false},
		{"without a target", admitter.Request{MayQueue: true, Deadline: in(time.Minute)}, true},
		{"without a target, too late for its deadline", admitter.Request{MayQueue: true, Deadline: in(time.Second / 2)}, false},
		{"without a target or a deadline", admitter.Request{MayQueue: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Assert(t, l.Admits(test.request, bytes, 0, now), qt.Equals, test.admits) })
	}
}

func TestLinkWithoutLimit(t *testing.T) {
	var l admitter.Link
	now := time.Unix(0, 0)
	l.Reserve(1e12)
	l.RecordSent(1<<40, now)
	qt.Assert(t, l.Admits(admitter.Request{}, 1e12, 0, now), qt.IsTrue)
}
