//go:build knownred

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
	mu       sync.Mutex
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
	u.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
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
func sendGet(n *testNode) reply {
	return do("GET", n.url("/get"), "", "X-Id", fmt.Sprintf("call-%d", callNumber.Add(1)))
}

// getAtRate sends calls at a rate for a time and returns their replies.
func getAtRate(n *testNode, perSecond int, length time.Duration) []reply {
	var wait sync.WaitGroup
	replies := make([]reply, int(float64(perSecond)*length.Seconds()))
	for i := range replies {
		wait.Go(func() { replies[i] = sendGet(n) })
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

// TestUpstreamGetsMoreThanItsRateLimit sends ten times as many calls as the upstream accepts.
func TestUpstreamGetsMoreThanItsRateLimit(t *testing.T) {
	u := newStatingUpstream(t)
	u.limit.Store(strconv.Itoa(testLimit))
	entry, sidecar := newNodeWith(t, "entry", statingDialect()), newNodeWith(t, "sidecar", statingDialect())
	local := u.incarnation(1)
	endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), local)}
	entry.publish(snapshotConfig{endpoints: endpoints})
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	u.forgetArrivals()
	getAtRate(entry, 10*testLimit, limitWindow+time.Second)
	most, _ := u.mostIn(limitWindow)
	qt.Assert(t, most <= allowedInWindow, qt.IsTrue, qt.Commentf("%d calls in %v, %d allowed", most, limitWindow, allowedInWindow))
}

// TestRateLimitIsLostWithTheNode restarts the node beside a limited upstream several times within one window. The entry
// node knows the limit throughout.
func TestRateLimitIsLostWithTheNode(t *testing.T) {
	u := newStatingUpstream(t)
	u.limit.Store(strconv.Itoa(testLimit))
	entry := newNodeWith(t, "entry", statingDialect())
	local := u.incarnation(1)
	restart := func() {
		sidecar := newNodeWith(t, "sidecar", statingDialect())
		endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), local)}
		sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
		entry.publish(snapshotConfig{endpoints: endpoints})
	}
	restart()
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	u.forgetArrivals()
	for range 10 {
		restart()
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() { sendGet(entry) })
		}
		wait.Wait()
	}
	most, _ := u.mostIn(limitWindow)
	qt.Assert(t, most <= allowedInWindow, qt.IsTrue, qt.Commentf("%d calls in %v, %d allowed", most, limitWindow, allowedInWindow))
}

// TestUpstreamThatStatesDrainingGetsCalls sends calls after a response has stated that the upstream is draining, and
// again after the node beside it has restarted.
func TestUpstreamThatStatesDrainingGetsCalls(t *testing.T) {
	u := newStatingUpstream(t)
	u.draining.Store("1")
	entry, sidecar := newNodeWith(t, "entry", statingDialect()), newNodeWith(t, "sidecar", statingDialect())
	local := u.incarnation(1)
	endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), local)}
	entry.publish(snapshotConfig{endpoints: endpoints})
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	for _, n := range []*testNode{entry, sidecar} {
		r := sendGet(n)
		qt.Assert(t, r.status, qt.Equals, 503)
		qt.Assert(t, r.run, qt.Equals, "no")
	}
	restarted := newNodeWith(t, "sidecar", statingDialect())
	endpoints = []*balancer.Endpoint{describe(restarted.endpoint("v1"), local)}
	restarted.publish(snapshotConfig{endpoints: endpoints, local: local})
	entry.publish(snapshotConfig{endpoints: endpoints})
	qt.Assert(t, sendGet(entry).status, qt.Equals, 503)
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}
