//go:build knownred

package forwarder_test

import (
	"testing"

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
