package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/forwarder"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

const (
	headerLimit    = "X-Limit"
	headerDraining = "X-Draining"
)

// statingDialect returns a dialect whose upstreams state a rate limit and that they are draining.
func statingDialect() forwarder.Dialect {
	d := sealedDialect()
	d.Condition = func(header func(string) string) (forwarder.UpstreamCondition, error) {
		limit, err := strconv.ParseFloat(header(headerLimit), 64)
		return forwarder.UpstreamCondition{Limited: err == nil, RateLimit: limit, Draining: header(headerDraining) != ""}, nil
	}
	return d
}

// statingUpstream is an upstream that states a condition in its responses.
type statingUpstream struct {
	*upstreamServer
	// limit and draining hold the values of the header fields; empty ones are left out.
	limit    atomic.Value
	draining atomic.Value
	// hold, if it is not nil, keeps calls from being answered until it is closed.
	hold chan struct{}
	mu   sync.Mutex
	// arrivals holds when calls arrived.
	arrivals []time.Time
}

func newStatingUpstream(t *testing.T) *statingUpstream {
	t.Helper()
	u := &statingUpstream{}
	u.limit.Store("")
	u.draining.Store("")
	u.upstreamServer = newUpstream(t, u.serve)
	return u
}

func (u *statingUpstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	hold := u.hold
	u.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if hold != nil {
		<-hold
	}
	for key, value := range map[string]string{headerLimit: u.limit.Load().(string), headerDraining: u.draining.Load().(string),
		"X-Id": r.Header.Get("X-Id"), "X-Seal": "s"} {
		if value != "" {
			w.Header().Set(key, value)
		}
	}
	_, _ = w.Write([]byte(u.address))
}

// incarnation returns the upstream as announced, in its n-th run under the same name.
func (u *statingUpstream) incarnation(n int64) *router.Local {
	l := u.local("v1")
	l.Instance, l.StartedUnixMs = u.address, n
	return l
}

// mostIn returns the highest number of calls that arrived in any window of a length, and the number of all calls.
func (u *statingUpstream) mostIn(window time.Duration) (most, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := 0
	for last, at := range u.arrivals {
		for at.Sub(u.arrivals[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, len(u.arrivals)
}

// holdCalls keeps the calls that arrive from now on from being answered until the test ends.
func (u *statingUpstream) holdCalls(t *testing.T) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hold = make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(u.hold) }))
}

func (u *statingUpstream) forgetArrivals() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = nil
}

// describe adds to an endpoint which upstream is beside its node.
func describe(e *balancer.Endpoint, l *router.Local) *balancer.Endpoint {
	e.Upstream = l.Incarnation()
	return e
}

var callNumber atomic.Int64

// sendGet sends a call with an ID of its own.
func sendGet(n *testNode, headers ...string) reply {
	headers = append(headers, "X-Id", fmt.Sprintf("call-%d", callNumber.Add(1)))
	return do("GET", n.url("/get"), "", headers...)
}

// getAtRate sends calls at a rate for a time and returns their replies.
func getAtRate(n *testNode, perSecond int, length time.Duration) []reply {
	var wait sync.WaitGroup
	replies := make([]reply, int(float64(perSecond)*length.Seconds()))
	for i := range replies {
		wait.Go(func() { replies[i] = sendGet(n, "X-Time-Left", "1000") })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wait.Wait()
	return replies
}

func countStatus(replies []reply, status int) int {
	n := 0
	for _, r := range replies {
		if r.status == status {
			n++
		}
	}
	return n
}

const (
	limitWindow = 4 * time.Second
	// testLimit is a rate limit, and allowedInWindow how many calls it allows in limitWindow: one and a half times the
	// limit, plus 5.
	testLimit       = 5
	allowedInWindow = testLimit*4*3/2 + 5
)

// limitedPair starts an entry node and the node beside an upstream that states testLimit, and waits until both know it.
func limitedPair(t *testing.T) (entry, sidecar *testNode, u *statingUpstream) {
	t.Helper()
	u = newStatingUpstream(t)
	u.limit.Store(strconv.Itoa(testLimit))
	entry, sidecar = newNodeWith(t, "entry", statingDialect()), newNodeWith(t, "sidecar", statingDialect())
	endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), u.incarnation(1))}
	entry.publish(snapshotConfig{endpoints: endpoints})
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: u.incarnation(1)})
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	u.forgetArrivals()
	return entry, sidecar, u
}

// TestUpstreamGetsMoreThanItsRateLimit sends ten times as many calls as the upstream accepts.
func TestUpstreamGetsMoreThanItsRateLimit(t *testing.T) {
	entry, _, u := limitedPair(t)
	const length = limitWindow + time.Second
	getAtRate(entry, 10*testLimit, length)
	most, all := u.mostIn(limitWindow)
	qt.Assert(t, most <= allowedInWindow, qt.IsTrue, qt.Commentf("%d calls in %v, %d allowed", most, limitWindow, allowedInWindow))
	qt.Assert(t, float64(all) > 0.8*testLimit*length.Seconds(), qt.IsTrue, qt.Commentf("only %d calls in %v", all, length))
}

// TestRateLimitIsLostWithTheNode restarts the node beside a limited upstream several times within one window. All entry
// nodes know the limit throughout.
func TestRateLimitIsLostWithTheNode(t *testing.T) {
	u := newStatingUpstream(t)
	u.limit.Store(strconv.Itoa(testLimit))
	var entries []*testNode
	for i := range 8 {
		entries = append(entries, newNodeWith(t, fmt.Sprintf("entry-%d", i), statingDialect()))
	}
	local := u.incarnation(1)
	restart := func() {
		sidecar := newNodeWith(t, "sidecar", statingDialect())
		endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), local)}
		sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
		for _, n := range entries {
			n.publish(snapshotConfig{endpoints: endpoints})
		}
	}
	restart()
	for _, n := range entries {
		qt.Assert(t, sendGet(n).status, qt.Equals, 200)
	}
	u.forgetArrivals()
	for range 10 {
		restart()
		var wait sync.WaitGroup
		for i := range 24 {
			wait.Go(func() { sendGet(entries[i%len(entries)], "X-Time-Left", "200") })
		}
		wait.Wait()
	}
	most, _ := u.mostIn(limitWindow)
	qt.Assert(t, most <= allowedInWindow, qt.IsTrue, qt.Commentf("%d calls in %v, %d allowed", most, limitWindow, allowedInWindow))
}

// TestCallsBeyondRateLimitGoToAnotherUpstream sends more than one of two upstreams accepts.
func TestCallsBeyondRateLimitGoToAnotherUpstream(t *testing.T) {
	limited, free := newStatingUpstream(t), newStatingUpstream(t)
	limited.limit.Store(strconv.Itoa(testLimit))
	entry := newNodeWith(t, "entry", statingDialect())
	var endpoints []*balancer.Endpoint
	for i, u := range []*statingUpstream{limited, free} {
		n := newNodeWith(t, fmt.Sprintf("sidecar-%d", i), statingDialect())
		e := describe(n.endpoint("v1"), u.incarnation(1))
		endpoints = append(endpoints, e)
		n.publish(snapshotConfig{endpoints: []*balancer.Endpoint{e}, local: u.incarnation(1)})
	}
	entry.publish(snapshotConfig{endpoints: endpoints})
	replies := getAtRate(entry, 10*testLimit, 2*time.Second)
	qt.Assert(t, countStatus(replies, 200), qt.Equals, len(replies))
}

// TestCallBeyondAllRateLimitsIsHeld: a call that no upstream can take in time is refused at once, as not run, and the
// caller is told to come back when the rate limit allows a call.
func TestCallBeyondAllRateLimitsIsHeld(t *testing.T) {
	entry, sidecar, u := limitedPair(t)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() { sendGet(entry, "X-Time-Left", "800") })
	}
	eventually(t, "the burst is used up", func() bool { _, all := u.mostIn(limitWindow); return all > 0 })
	before, relayed := time.Now(), sidecar.Stats().Relayed.Load()
	r := sendGet(entry, "X-Time-Left", "100")
	qt.Assert(t, time.Since(before) < 80*time.Millisecond, qt.IsTrue)
	qt.Assert(t, sidecar.Stats().Relayed.Load(), qt.Equals, relayed)
	qt.Assert(t, r.status, qt.Equals, 503)
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, r.refusal, qt.Equals, "rate-limited")
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, after > 0.1 && after <= 2, qt.IsTrue, qt.Commentf("Retry-After: %v", after))
	wait.Wait()
}

// TestCallsWaitingForTheRateLimitAreForgotten queues calls at once; nothing else happens while they wait.
func TestCallsWaitingForTheRateLimitAreForgotten(t *testing.T) {
	_, sidecar, _ := limitedPair(t)
	var wait sync.WaitGroup
	replies := make([]reply, 4)
	for i := range replies {
		wait.Go(func() { replies[i] = sendGet(sidecar, "X-Time-Left", "3000") })
	}
	before := time.Now()
	wait.Wait()
	qt.Assert(t, countStatus(replies, 200), qt.Equals, len(replies))
	qt.Assert(t, time.Since(before) < 2*time.Second, qt.IsTrue)
}

// TestRateLimitOutlivesItsStatement ends and changes the limit: each response replaces it.
func TestRateLimitOutlivesItsStatement(t *testing.T) {
	entry, sidecar, u := limitedPair(t)
	qt.Assert(t, sidecar.Stats().RateLimit(), qt.Equals, float64(testLimit))
	u.limit.Store("7.5")
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	qt.Assert(t, sidecar.Stats().RateLimit(), qt.Equals, 7.5)
	u.limit.Store("")
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	replies := getAtRate(entry, 10*testLimit, time.Second)
	qt.Assert(t, countStatus(replies, 200), qt.Equals, len(replies))
}

// TestRateLimitOutlivesTheUpstream starts the upstream again under the same name: it has stated nothing yet.
func TestRateLimitOutlivesTheUpstream(t *testing.T) {
	entry, sidecar, u := limitedPair(t)
	u.limit.Store("")
	endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), u.incarnation(2))}
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: u.incarnation(2)})
	entry.publish(snapshotConfig{endpoints: endpoints})
	qt.Assert(t, sidecar.Stats().RateLimit(), qt.Equals, 0.0)
	replies := getAtRate(entry, 10*testLimit, time.Second)
	qt.Assert(t, countStatus(replies, 200), qt.Equals, len(replies))
}

// TestRateLimitIsForgottenWhileTheNodeStarts sends calls while the restarted node does not know its upstream yet: its
// refusals must not make the entry node forget the limit.
func TestRateLimitIsForgottenWhileTheNodeStarts(t *testing.T) {
	entry, _, u := limitedPair(t)
	restarted := newNodeWith(t, "sidecar", statingDialect())
	endpoints := []*balancer.Endpoint{describe(restarted.endpoint("v1"), u.incarnation(1))}
	restarted.publish(snapshotConfig{endpoints: endpoints})
	entry.publish(snapshotConfig{endpoints: endpoints})
	for range 5 {
		qt.Assert(t, sendGet(entry, "X-Time-Left", "1000").refusal, qt.Equals, "leaving")
	}
	// The call gets no response, so only the entry node can tell the limit.
	u.holdCalls(t)
	restarted.publish(snapshotConfig{endpoints: endpoints, local: u.incarnation(1)})
	go sendGet(entry, "X-Time-Left", "1000")
	eventually(t, "the restarted node knows the limit", func() bool { return restarted.Stats().RateLimit() == testLimit })
}
