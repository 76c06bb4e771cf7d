package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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

// shortDrain is the drain timeout in the settings of nodes whose last moment for responses a test waits for. The drain itself
// may take drainTime, so that the tests don't depend on the speed of the machine.
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
			qt.Assert(t, n.Drain(drainTime), qt.IsTrue)
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
			// Only a lost connection leads to a claim.
			entry.common.Settings.SilenceAfter = 10 * drainTime
			u := newHeldUpstream(t)
			snapshot := snapshotConfig{endpoints: sidecar.endpoints("v1"), local: u.local("v1"), leaving: test.leavesBefore}
			entry.publish(snapshotConfig{endpoints: snapshot.endpoints})
			sidecar.publish(snapshot)
			replies := start("POST", entry.url("/post"))
			eventually(t, "the call runs", func() bool { return u.runs.Load() == 1 })
			snapshot.leaving = true
			sidecar.publish(snapshot)
			qt.Assert(t, sidecar.Drain(drainTime), qt.IsTrue)
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
	qt.Assert(t, sidecar.Drain(drainTime), qt.IsTrue)
	u.release()
	qt.Assert(t, (<-running).err, qt.IsNil)
	r := <-queued
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s, run %s", r.refusal, r.run))
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// crossing passes connections on to a node. Once cut is set, it hides that the node closes a connection opened before, until
// a call arrives on it: such a call crosses the close. Connections opened since are passed on.
type crossing struct {
	address string
	target  string
	cut     atomic.Bool
}

func newCrossing(t *testing.T, target string) *crossing {
	t.Helper()
	c := &crossing{target: target}
	c.address = serveConnections(t, c.serve)
	return c
}

func (c *crossing) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	openedCut := c.cut.Load()
	go func() {
		_, _ = io.Copy(from, to)
		if openedCut || !c.cut.Load() {
			_ = from.Close()
		}
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil || c.cut.Load() && !openedCut {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// openHead opens a connection and sends a part of a head on it, so that a draining node does not close it as idle.
func openHead(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, post("/post")[:openHeadBytes])
	qt.Assert(t, err, qt.IsNil)
	return c
}

// startDrainBeside makes the node drain while a connection is in use, and waits until it has closed an idle one.
func (n *testNode) startDrainBeside(t *testing.T) {
	t.Helper()
	callers, _ := n.Addresses()
	idle, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = idle.Close() }()
	openHead(t, callers)
	qt.Assert(t, do("GET", n.url("/unknown"), "").status, qt.Equals, http.StatusNotFound)
	go n.Drain(n.common.Settings.DrainTimeout)
	qt.Assert(t, idle.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = idle.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
}

// TestDrainingNodeRefusesClaims sends a non-idempotent call to a draining node on a connection that it closes before it reads
// the call. The claim must learn that the call has not arrived, so that the caller may repeat it.
func TestDrainingNodeRefusesClaims(t *testing.T) {
	entry, sidecar := newNode(t, "entry"), newNode(t, "sidecar")
	sidecar.common.Settings.DrainTimeout = drainTime
	u := newUpstream(t, respondWith("ran"))
	_, peers := sidecar.Addresses()
	c := newCrossing(t, peers)
	endpoints := []*balancer.Endpoint{endpoint("sidecar", "v1", c.address)}
	entry.publish(snapshotConfig{endpoints: endpoints})
	snapshot := snapshotConfig{endpoints: endpoints, local: u.local("v1")}
	sidecar.publish(snapshot)
	qt.Assert(t, do("POST", entry.url("/post"), "pay").body, qt.Equals, "ran")
	snapshot.leaving = true
	sidecar.publish(snapshot)
	c.cut.Store(true)
	sidecar.startDrainBeside(t)
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, entry.Stats().Claims.Load() > 0, qt.IsTrue)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s, run %s", r.refusal, r.run))
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestRunningUpstreamCannotCallOut lets the upstream of a draining node make a call of its own, on a new connection, while
// it runs a call that the node has taken before, and with that call's deadline. The upstream has no other node to send it to.
func TestRunningUpstreamCannotCallOut(t *testing.T) {
	entry, sidecar, other := newNode(t, "entry"), newNode(t, "sidecar"), newNode(t, "other")
	sidecar.common.Settings.DrainTimeout = drainTime
	draining := make(chan struct{})
	child := make(chan reply, 1)
	parent := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		<-draining
		left, _ := strconv.Atoi(r.Header.Get("Tamarackpitch-Time-Left"))
		left -= int(time.Since(began).Milliseconds())
		child <- do("POST", sidecar.url("/post/child"), "pay", "Tamarackpitch-Time-Left", strconv.Itoa(left))
		_, _ = io.WriteString(w, "parent ran")
	})
	u := newUpstream(t, respondWith("child ran"))
	other.publish(snapshotConfig{endpoints: other.endpoints("v1"), local: u.local("v1")})
	entry.publish(snapshotConfig{endpoints: sidecar.endpoints("v1")})
	sidecar.publish(snapshotConfig{endpoints: other.endpoints("v1"), local: parent.local("v1"), leaving: true})
	replies := start("POST", entry.url("/post/parent"))
	eventually(t, "the call runs", func() bool { return parent.runs.Load() == 1 })
	sidecar.startDrainBeside(t)
	close(draining)
	r := <-child
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.body, qt.Equals, "child ran")
	qt.Assert(t, (<-replies).body, qt.Equals, "parent ran")
	// Nothing more can call out, so that the node takes no new connections.
	callers, _ := sidecar.Addresses()
	eventually(t, "the node closes its listener", func() bool {
		c, err := net.Dial("tcp", callers)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
}

// TestCallsArePassedOnTooLate makes a non-idempotent call that its node has taken before it drained, and that the only
// upstream's node refuses so late that a second try could not be answered before the first node exits.
func TestCallsArePassedOnTooLate(t *testing.T) {
	const refusedAfter, serviceMs = 200 * time.Millisecond, 1500
	p := newScriptedPeer(t, func(_ string, w net.Conn) bool {
		time.Sleep(refusedAfter)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nTamarackpitch-Run: no\r\nTamarackpitch-Refusal: busy\r\n"+
			"Tamarackpitch-Load: 1 %d\r\nContent-Length: 0\r\n\r\n", serviceMs)
		return true
	})
	n := newNode(t, "entry")
	n.common.Settings.DrainTimeout = drainTime
	// The peer sends no progress responses.
	n.common.Settings.SilenceAfter = 10 * drainTime
	n.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", p.address)}, leaving: true})
	replies := start("POST", n.url("/post"))
	eventually(t, "the call is sent", func() bool { return len(p.operations()) == 1 })
	qt.Assert(t, n.Drain(drainTime), qt.IsTrue)
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

// TestDrainedNodeTakesCallsOfOtherNodes sends a call, as another node does, to a node whose drain has ended early. The call
// would end before the drain timeout, but the process exits at once.
func TestDrainedNodeTakesCallsOfOtherNodes(t *testing.T) {
	n := newNode(t, "sidecar")
	n.common.Settings.DrainTimeout = drainTime
	u := newUpstream(t, respondWith("ran"))
	n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1"), leaving: true})
	qt.Assert(t, n.Drain(drainTime), qt.IsTrue)
	_, peers := n.Addresses()
	r := do("POST", "http://"+peers+"/post", "pay", "Tamarackpitch-Operation", "call", "Tamarackpitch-Id", "7",
		"Tamarackpitch-Time-Left", "100", "Tamarackpitch-Route", "post", "Tamarackpitch-Service", "s")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.refusal, qt.Equals, "node-leaving")
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestBegunResponsesAreCutBeforeTheEnd lets a node leave while it passes a response on, which ends after the last moment for
// other responses, but while the process lives.
func TestBegunResponsesAreCutBeforeTheEnd(t *testing.T) {
	const rest = shortDrain + 200*time.Millisecond
	n := newNode(t, "entry")
	n.common.Settings.DrainTimeout = shortDrain
	begun := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begun, ")
		w.(http.Flusher).Flush()
		<-begun
		time.Sleep(rest)
		_, _ = io.WriteString(w, "ended")
	})
	snapshot := snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1")}
	n.publish(snapshot)
	response, err := http.Get(n.url("/get"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	snapshot.leaving = true
	n.publish(snapshot)
	close(begun)
	body, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "begun, ended")
}
