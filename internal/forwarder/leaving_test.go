package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// TestLeavingNodeRespondsToCallsBeforeShutdown makes a call that takes longer than the drain timeout of a leaving node.
// The caller must get a response before the node exits, instead of a closed connection.
func TestLeavingNodeRespondsToCallsBeforeShutdown(t *testing.T) {
	const drainTimeout, callDuration = 600 * time.Millisecond, 2 * time.Second
	entry, sidecar := newNode(t, "entry"), newNode(t, "sidecar")
	entry.common.Settings.DrainTimeout = drainTimeout
	u := newUpstream(t, func(http.ResponseWriter, *http.Request) { time.Sleep(callDuration) })
	endpoints := []*balancer.Endpoint{sidecar.endpoint("v1")}
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: u.local("v1")})
	entry.publish(snapshotConfig{endpoints: endpoints, leaving: true})
	began := time.Now()
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, time.Since(began) < drainTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
	qt.Assert(t, r.run, qt.Equals, "unknown")
}
