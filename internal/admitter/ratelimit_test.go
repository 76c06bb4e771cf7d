package admitter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
)

// rateReplay feeds an admitter with Poisson arrivals under a rate limit, in virtual time, and returns when it granted
// slots to items of each rank.
type rateReplay struct {
	admitter admitter.Admitter[int]
	now      time.Time
	ranks    []int
	grants   [][]time.Time
}

func (r *rateReplay) grant(item int) {
	r.grants[r.ranks[item]] = append(r.grants[r.ranks[item]], r.now)
	r.admitter.Release()
}

// run offers a number of items per second for a time; each item has one of two ranks and may wait for maxWait.
func (r *rateReplay) run(perSecond float64, length, maxWait time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	r.grants = make([][]time.Time, 2)
	start := r.now
	next := start
	for r.now.Sub(start) < length {
		for !next.After(r.now) {
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			item := len(r.ranks)
			r.ranks = append(r.ranks, random.IntN(2))
			request := admitter.Request{Rank: r.ranks[item], MayQueue: true, Deadline: r.now.Add(maxWait)}
			if decision, _, _ := r.admitter.Enter(item, request, r.now); decision == admitter.Granted {
				r.grant(item)
			}
		}
		for {
			item, ok := r.admitter.Next(r.now)
			if !ok {
				break
			}
			r.grant(item)
		}
		r.now = r.now.Add(time.Millisecond)
	}
}

// TestRateLimitIsKeptAndUsed offers less, as much as and more than the limit: in no window of four seconds may more be
// granted than the limit and its burst allow, and under overload nearly all of it is used.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.5, 40).Draw(t, "limit")
		load := rapid.SampledFrom([]float64{0.5, 1, 2, 5}).Draw(t, "load")
		r := &rateReplay{now: time.Unix(0, 0)}
		r.admitter.SetLimits(100, 1000)
		r.admitter.SetRateLimit(limit, r.now)
		const length, window = 30 * time.Second, 4 * time.Second
		r.run(load*limit, length, 5*admitter.Interval(limit), rapid.Uint64().Draw(t, "seed"))
		all := append(r.grants[0], r.grants[1]...)
		slices.SortFunc(all, time.Time.Compare)
		first := 0
		for last, at := range all {
			for at.Sub(all[first]) >= window {
				first++
			}
			count := last - first + 1
			if allowed := limit*window.Seconds() + float64(admitter.Burst(limit)) + 1; float64(count) > allowed {
				t.Fatalf("%d grants in %v at a limit of %v per second", count, window, limit)
			}
		}
		if expected := limit * length.Seconds(); load >= 2 && expected > 20 && float64(len(all)) < 0.9*expected {
			t.Fatalf("%d of %v grants used under overload", len(all), expected)
		}
		if load >= 5 && len(r.grants[0]) < len(r.grants[1]) {
			t.Fatalf("%d grants of the higher rank, %d of the lower one", len(r.grants[0]), len(r.grants[1]))
		}
	})
}

// TestCallBehindRateLimitIsRefusedAtOnce offers an item that the rate limit would keep waiting beyond its deadline.
func TestCallBehindRateLimitIsRefusedAtOnce(t *testing.T) {
	var a admitter.Admitter[string]
	now := time.Unix(0, 0)
	a.SetLimits(4, 10)
	a.SetRateLimit(2, now)
	enter := func(wait time.Duration) admitter.Decision {
		decision, _, _ := a.Enter("x", admitter.Request{MayQueue: true, Deadline: now.Add(wait)}, now)
		return decision
	}
	qt.Assert(t, enter(400*time.Millisecond), qt.Equals, admitter.Refused)
	qt.Assert(t, enter(600*time.Millisecond), qt.Equals, admitter.Queued)
	qt.Assert(t, enter(600*time.Millisecond), qt.Equals, admitter.Refused)
	qt.Assert(t, enter(1100*time.Millisecond), qt.Equals, admitter.Queued)
	wait, waiting := a.NextGrant(now)
	qt.Assert(t, waiting, qt.IsTrue)
	qt.Assert(t, wait, qt.Equals, 500*time.Millisecond)
	a.ClearRateLimit()
	_, ok := a.Next(now)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestUpstreamWithRateLimitOfZeroIsProbed: only a response can tell that the limit has ended.
func TestUpstreamWithRateLimitOfZeroIsProbed(t *testing.T) {
	r := &rateReplay{now: time.Unix(0, 0)}
	r.admitter.SetLimits(4, 10)
	r.admitter.SetRateLimit(0, r.now)
	r.run(10, 20*time.Second, time.Minute, 1)
	got := len(r.grants[0]) + len(r.grants[1])
	qt.Assert(t, got >= 2 && got <= 5, qt.IsTrue, qt.Commentf("%d calls in 20 s", got))
}
