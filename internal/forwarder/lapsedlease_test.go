package forwarder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// lapsedCase is a call that runs at an upstream whose announcement lapses meanwhile.
type lapsedCase struct {
	upstream *statingUpstream
	node     *testNode
	publish  func(announced bool)
}

// startLapsedCase has a call run until the announcement has lapsed. Its response then states a limit, or that the upstream drains.
func startLapsedCase(t *testing.T, limit, draining string) *lapsedCase {
	t.Helper()
	release := make(chan struct{})
	c := &lapsedCase{node: newNodeWith(t, "sidecar", statingDialect()), upstream: newStatingUpstream(t)}
	c.upstream.hold = release
	c.upstream.limit.Store(limit)
	c.upstream.draining.Store(draining)
	local := c.upstream.incarnation(1)
	endpoints := []*balancer.Endpoint{describe(c.node.endpoint("v1"), local)}
	c.publish = func(announced bool) {
		if announced {
			c.node.publish(snapshotConfig{endpoints: endpoints, local: local})
		} else {
			c.node.publish(snapshotConfig{endpoints: endpoints})
		}
	}
	c.publish(true)
	replies := make(chan reply, 1)
	go func() { replies <- sendGet(c.node) }()
	eventually(t, "the call runs", func() bool { return c.upstream.runs.Load() == 1 })
	c.publish(false)
	close(release)
	qt.Assert(t, (<-replies).status, qt.Equals, 200)
	return c
}

// TestDrainingStatedAfterLapse has a response state that the upstream drains while its announcement has lapsed. Late heartbeats announce
// the upstream again: it must get no calls (rule DRAIN, review/8).
func TestDrainingStatedAfterLapse(t *testing.T) {
	c := startLapsedCase(t, "", "1")
	select {
	case i := <-c.node.drains:
		qt.Assert(t, i, qt.Equals, c.upstream.incarnation(1).Incarnation())
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream was not reported as draining")
	}
	c.publish(true)
	qt.Assert(t, sendGet(c.node).status, qt.Equals, 503)
	qt.Assert(t, c.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestLimitStatedAfterLapse has a response state a rate limit while the upstream's announcement has lapsed: it holds once the upstream is
// announced again (rule LIMIT).
func TestLimitStatedAfterLapse(t *testing.T) {
	c := startLapsedCase(t, "3", "")
	c.publish(true)
	qt.Assert(t, c.node.Stats().RateLimit(), qt.Equals, 3.0)
}
