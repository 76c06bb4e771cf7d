package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

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
	select {
	case i := <-sidecar.drains:
		qt.Assert(t, i, qt.Equals, local.Incarnation())
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream was not reported as draining")
	}
	// The upstream's announcement may still say that it is ready.
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
	relayed := sidecar.Stats().Relayed.Load()
	for _, n := range []*testNode{entry, sidecar} {
		r := sendGet(n)
		qt.Assert(t, r.status, qt.Equals, 503)
		qt.Assert(t, r.run, qt.Equals, "no")
	}
	qt.Assert(t, sidecar.Stats().Relayed.Load(), qt.Equals, relayed)
	restarted := newNodeWith(t, "sidecar", statingDialect())
	endpoints = []*balancer.Endpoint{describe(restarted.endpoint("v1"), local)}
	restarted.publish(snapshotConfig{endpoints: endpoints, local: local})
	entry.publish(snapshotConfig{endpoints: endpoints})
	qt.Assert(t, sendGet(entry).status, qt.Equals, 503)
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestQueuedCallsReachDrainingUpstream queues a call for the only slot of an upstream whose next response states that it
// is draining.
func TestQueuedCallsReachDrainingUpstream(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.Header().Set(headerDraining, "1")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seal", "s")
	})
	n := newNodeWith(t, "sidecar", statingDialect())
	local := u.local("v1")
	local.Slots = 1
	n.publish(snapshotConfig{endpoints: []*balancer.Endpoint{describe(n.endpoint("v1"), local)}, local: local})
	replies := make(chan reply, 2)
	for range 2 {
		go func() { replies <- sendGet(n) }()
	}
	eventually(t, "both calls have entered", func() bool { return n.Stats().Entered.Load() == 2 })
	before := time.Now()
	close(release)
	statuses := []int{(<-replies).status, (<-replies).status}
	qt.Assert(t, statuses, qt.ContentEquals, []int{200, 503})
	qt.Assert(t, time.Since(before) < 5*time.Second, qt.IsTrue)
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestDrainingOutlivesTheUpstream starts the upstream again under the same name: it gets calls.
func TestDrainingOutlivesTheUpstream(t *testing.T) {
	u := newStatingUpstream(t)
	u.draining.Store("1")
	entry, sidecar := newNodeWith(t, "entry", statingDialect()), newNodeWith(t, "sidecar", statingDialect())
	publish := func(run int64) {
		endpoints := []*balancer.Endpoint{describe(sidecar.endpoint("v1"), u.incarnation(run))}
		entry.publish(snapshotConfig{endpoints: endpoints})
		sidecar.publish(snapshotConfig{endpoints: endpoints, local: u.incarnation(run)})
	}
	publish(1)
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	qt.Assert(t, sendGet(entry).status, qt.Equals, 503)
	u.draining.Store("")
	publish(2)
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	qt.Assert(t, sendGet(sidecar).status, qt.Equals, 200)
}

// TestRestartedNodeForgetsDraining restarts the node beside an upstream that has stated that it is draining. A call of an
// entry node that takes the endpoint's upstream for another one tells it.
func TestRestartedNodeForgetsDraining(t *testing.T) {
	u := newStatingUpstream(t)
	u.draining.Store("1")
	entry, sidecar := newNodeWith(t, "entry", statingDialect()), newNodeWith(t, "sidecar", statingDialect())
	local := u.incarnation(1)
	publish := func(n *testNode) {
		endpoints := []*balancer.Endpoint{n.endpoint("v1")}
		n.publish(snapshotConfig{endpoints: endpoints, local: local})
		entry.publish(snapshotConfig{endpoints: endpoints})
	}
	publish(sidecar)
	qt.Assert(t, sendGet(entry).status, qt.Equals, 200)
	publish(newNodeWith(t, "sidecar", statingDialect()))
	qt.Assert(t, sendGet(entry).refusal, qt.Equals, "leaving")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}
