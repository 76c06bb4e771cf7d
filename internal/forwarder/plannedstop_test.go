package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// heldUpstream runs calls until the test ends or release is called.
type heldUpstream struct {
	*upstreamServer
	held chan struct{}
}

func newHeldUpstream(t *testing.T) *heldUpstream {
	t.Helper()
	held := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-held
		_, _ = io.WriteString(w, r.URL.Path)
	})
	h := &heldUpstream{upstreamServer: u, held: held}
	t.Cleanup(h.release)
	return h
}

func (h *heldUpstream) release() {
	select {
	case <-h.held:
	default:
		close(h.held)
	}
}

// start sends a call on a new connection and returns where its reply will be.
func start(method, url string, headers ...string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- do(method, url, "pay", headers...) }()
	return replies
}

// shortDrain is the drain timeout of nodes whose end a test waits for.
const shortDrain = 600 * time.Millisecond

// TestCallsBeforeTheSignalAreCutAtTheEnd starts a call before its node leaves, at an upstream that takes longer than the
// node lives. The caller must get a response before the node exits, instead of a closed connection.
func TestCallsBeforeTheSignalAreCutAtTheEnd(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			n := newNode(t, "entry")
			n.common.Settings.DrainTimeout = shortDrain
			u := newHeldUpstream(t)
			snapshot := snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1")}
			n.publish(snapshot)
			path := map[string]string{"GET": "/get", "POST": "/post"}[method]
			replies := start(method, n.url(path))
			eventually(t, "the call runs", func() bool { return u.runs.Load() == 1 })
			snapshot.leaving = true
			n.publish(snapshot)
			drained := n.Drain(shortDrain)
			qt.Assert(t, drained, qt.IsTrue)
			r := <-replies
			qt.Assert(t, r.err, qt.IsNil)
			qt.Assert(t, r.status, qt.Equals, http.StatusGatewayTimeout)
			qt.Assert(t, r.run, qt.Equals, "unknown")
		})
	}
}

// TestCallsOfOtherNodesAreCutAtTheEnd sends a call through another node to the upstream of a node that leaves, which takes
// longer than that node lives. The other node must get a response before the end, instead of a closed connection.
func TestCallsOfOtherNodesAreCutAtTheEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		// leavesBefore reports whether the node leaves before the call, and not while it runs.
		leavesBefore bool
	}{{"taken while leaving", true}, {"taken before", false}} {
		t.Run(test.name, func(t *testing.T) {
			entry, sidecar := newNode(t, "entry"), newNode(t, "sidecar")
			sidecar.common.Settings.DrainTimeout = shortDrain
			u := newHeldUpstream(t)
			snapshot := snapshotConfig{endpoints: sidecar.endpoints("v1"), local: u.local("v1"), leaving: test.leavesBefore}
			entry.publish(snapshotConfig{endpoints: snapshot.endpoints})
			sidecar.publish(snapshot)
			replies := start("POST", entry.url("/post"))
			eventually(t, "the call runs", func() bool { return u.runs.Load() == 1 })
			snapshot.leaving = true
			sidecar.publish(snapshot)
			qt.Assert(t, sidecar.Drain(shortDrain), qt.IsTrue)
			r := <-replies
			qt.Assert(t, r.status, qt.Equals, http.StatusGatewayTimeout)
			qt.Assert(t, r.run, qt.Equals, "unknown")
			qt.Assert(t, entry.Stats().Claims.Load(), qt.Equals, uint64(0))
		})
	}
}

// TestQueuedCallsRunAtTheEnd queues a call of another node, from before this node leaves, for the only slot of its upstream,
// which is free again only when the node is about to exit. The call must be refused, instead of being run and cut off.
func TestQueuedCallsRunAtTheEnd(t *testing.T) {
	entry, sidecar := newNode(t, "entry"), newNode(t, "sidecar")
	sidecar.common.Settings.DrainTimeout = shortDrain
	u := newHeldUpstream(t)
	snapshot := snapshotConfig{endpoints: sidecar.endpoints("v1"), local: u.local("v1")}
	snapshot.local.Slots = 1
	entry.publish(snapshotConfig{endpoints: snapshot.endpoints})
	sidecar.publish(snapshot)
	running := start("POST", entry.url("/post/running"))
	eventually(t, "the first call runs", func() bool { return u.runs.Load() == 1 })
	queued := start("POST", entry.url("/post/queued"))
	// The entry node asks for a free slot first, and then for a place in the queue.
	eventually(t, "the second call is queued", func() bool { return sidecar.Stats().Relayed.Load() == 3 })
	snapshot.leaving = true
	sidecar.publish(snapshot)
	sidecar.Drain(shortDrain)
	u.release()
	qt.Assert(t, (<-running).err, qt.IsNil)
	r := <-queued
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s, run %s", r.refusal, r.run))
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestCallsArePassedOnTooLate makes a non-idempotent call that its node has taken before it drained, and that the only
// upstream's node refuses so late that a second try could not be answered before the first node exits.
func TestCallsArePassedOnTooLate(t *testing.T) {
	const refusedAfter, serviceMs = 200 * time.Millisecond, 400
	p := newScriptedPeer(t, func(_ string, w net.Conn) bool {
		time.Sleep(refusedAfter)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nTamarackpitch-Run: no\r\nTamarackpitch-Refusal: busy\r\n"+
			"Tamarackpitch-Load: 1 %d\r\nContent-Length: 0\r\n\r\n", serviceMs)
		return true
	})
	n := newNode(t, "entry")
	n.common.Settings.DrainTimeout = shortDrain
	n.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", p.address)}, leaving: true})
	replies := start("POST", n.url("/post"))
	eventually(t, "the call is sent", func() bool { return len(p.operations()) == 1 })
	qt.Assert(t, n.Drain(shortDrain), qt.IsTrue)
	r := <-replies
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s, run %s", r.refusal, r.run))
	qt.Assert(t, r.refusal, qt.Equals, "node-leaving")
	qt.Assert(t, p.operations(), qt.HasLen, 1)
}

// TestDrainedNodeTakesCalls opens connections and sends calls on them at the moment at which an idle node drains. Once Drain
// has reported that nothing is left, the process exits, so that no call may run or start to run.
func TestDrainedNodeTakesCalls(t *testing.T) {
	const rounds, callers, spread, work = 20, 8, 2 * time.Millisecond, 100 * time.Millisecond
	// The calls' timeout is long, so that none expires on a busy machine, and fits into the drain.
	const timeoutMs, drainTimeout = 5000, 10 * time.Second
	for round := range rounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			n := newNode(t, "entry")
			n.common.Settings.DrainTimeout = drainTimeout
			var ended atomic.Int64
			u := newUpstream(t, func(http.ResponseWriter, *http.Request) {
				time.Sleep(work)
				ended.Add(1)
			})
			n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1"), timeoutMs: timeoutMs, leaving: true})
			var calls sync.WaitGroup
			for i := range callers {
				calls.Go(func() {
					time.Sleep(time.Duration(i) * spread / callers)
					_ = do("POST", n.url("/post"), "pay")
				})
			}
			time.Sleep(time.Duration(round%10) * spread / 10)
			qt.Assert(t, n.Drain(drainTimeout), qt.IsTrue)
			endedByDrain := ended.Load()
			calls.Wait()
			qt.Assert(t, u.runs.Load(), qt.Equals, endedByDrain, qt.Commentf("calls ran at the end of the drain or after it"))
		})
	}
}
