package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// TestCallsOfALeavingNodeAreAnsweredBeforeItsEnd stops a node while a call would take longer than the node lives: the
// caller is told before that, and is not cut off.
func TestCallsOfALeavingNodeAreAnsweredBeforeItsEnd(t *testing.T) {
	const life, work = 600 * time.Millisecond, 2 * time.Second
	entry, beside := newNode(t, "entry"), newNode(t, "beside")
	entry.common.Settings.DrainTimeout = life
	u := newUpstream(t, func(http.ResponseWriter, *http.Request) { time.Sleep(work) })
	endpoints := []*balancer.Endpoint{beside.endpoint("v1")}
	beside.publish(viewConfig{endpoints: endpoints, local: u.local("v1")})
	entry.publish(viewConfig{endpoints: endpoints, leaving: true})
	began := time.Now()
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, time.Since(began) < life, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
	qt.Assert(t, r.run, qt.Equals, "unknown")
}
