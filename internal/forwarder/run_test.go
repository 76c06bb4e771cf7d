package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// withPeer returns an entry node that sends calls first to a scripted peer, and retries at a real node, whose upstream
// answers "fallback".
func withPeer(t *testing.T, s script) (entry *testNode, p *scriptedPeer, u *upstreamServer) {
	t.Helper()
	entry = newNode(t, "entry")
	p = newScriptedPeer(t, s)
	sidecar := newNode(t, "sidecar")
	u = newUpstream(t, respondWith("fallback"))
	fallback := sidecar.endpoint("v1")
	// The other zone and the cold start raise its cost, so that the first attempt goes to the peer.
	fallback.Zone = "far"
	fallback.WarmAt = time.Now().Add(time.Hour)
	entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", p.address), fallback}})
	sidecar.publish(snapshotConfig{endpoints: []*balancer.Endpoint{fallback}, local: u.local("v1")})
	return entry, p, u
}

// TestLostCallIsFencedBeforeRetry closes the connection of a non-idempotent call: another upstream may run the call
// only after the first node has fenced it.
func TestLostCallIsFencedBeforeRetry(t *testing.T) {
	entry, p, u := withPeer(t, func(operation string, w net.Conn) bool {
		if operation == "claim" {
			return refuse(w, 409, "fenced", "no")
		}
		return false
	})
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, r.body, qt.Equals, "fallback")
	qt.Assert(t, p.operations(), qt.DeepEquals, []string{"call", "claim"})
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestUnknownOutcomeIsReportedAndNotRetried closes the connection of a non-idempotent call whose node can't tell its
// outcome either: the caller is told so and no other upstream runs it.
func TestUnknownOutcomeIsReportedAndNotRetried(t *testing.T) {
	scripts := map[string]script{
		"response lost": func(operation string, w net.Conn) bool {
			return operation == "claim" && refuse(w, 502, "answer-lost", "unknown")
		},
		"node gone": func(string, net.Conn) bool { return false },
	}
	for name, s := range scripts {
		t.Run(name, func(t *testing.T) {
			entry, _, u := withPeer(t, s)
			r := do("POST", entry.url("/post"), "pay")
			qt.Assert(t, r.status, qt.Equals, 502)
			qt.Assert(t, r.run, qt.Equals, "unknown")
			qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
		})
	}
}

// TestSilentConnectionIsClaimed leaves the first connection open without a response: the entry node claims the call
// over a new connection and gets the response there.
func TestSilentConnectionIsClaimed(t *testing.T) {
	entry, _, u := withPeer(t, func(operation string, w net.Conn) bool {
		if operation == "claim" {
			_, _ = io.WriteString(w, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored")
		}
		return true
	})
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, r.body, qt.Equals, "stored")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestRefusalWhileClaimIsPending refuses a silent call while the claim for it is pending, and then fences it in the
// response to the claim: the call must be retried once, not for each of the two. Found in a soak run with seed 2.
func TestRefusalWhileClaimIsPending(t *testing.T) {
	calls := make(chan net.Conn, 16)
	entry, _, u := withPeer(t, func(operation string, w net.Conn) bool {
		if operation == "call" {
			calls <- w
			return true
		}
		_, _ = io.WriteString(w, "HTTP/1.1 102 Processing\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		refuse(<-calls, 503, "leaving", "no")
		time.Sleep(5 * time.Millisecond)
		return refuse(w, 409, "fenced", "no")
	})
	for range 5 {
		before := u.runs.Load()
		r := do("POST", entry.url("/post"), "pay")
		qt.Assert(t, r.body, qt.Equals, "fallback")
		time.Sleep(50 * time.Millisecond)
		qt.Assert(t, u.runs.Load(), qt.Equals, before+1)
	}
}

// TestFencedWhileRefusalIsRead responds to the claim while the refusal of the call itself has been read in part: both
// say that the call has not run, but it may be counted only once. Found in a soak run with seed 10.
func TestFencedWhileRefusalIsRead(t *testing.T) {
	calls := make(chan net.Conn, 16)
	entry, _, u := withPeer(t, func(operation string, w net.Conn) bool {
		if operation == "call" {
			calls <- w
			return true
		}
		_, _ = io.WriteString(<-calls, "HTTP/1.1 503 X\r\nTamarackpitch-Run: no\r\nContent-Length: 5\r\n\r\nle")
		time.Sleep(20 * time.Millisecond)
		return refuse(w, 409, "fenced", "no")
	})
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, r.body, qt.Equals, "fallback")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestFrozenNode gives no response on any connection: an idempotent call is retried at another node, a non-idempotent
// one times out with an unknown outcome.
func TestFrozenNode(t *testing.T) {
	entry, _, u := withPeer(t, func(string, net.Conn) bool { return true })
	qt.Assert(t, do("GET", entry.url("/get"), "").body, qt.Equals, "fallback")
	runs := u.runs.Load()
	frozen := newScriptedPeer(t, func(string, net.Conn) bool { return true })
	entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", frozen.address)}, timeoutMs: 800})
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, r.status, qt.Equals, 504)
	qt.Assert(t, r.run, qt.Equals, "unknown")
	qt.Assert(t, u.runs.Load(), qt.Equals, runs)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	entry := newNode(t, "entry")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := l.Addr().String()
	_ = l.Close()
	entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("gone", "v1", closed)}})
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, r.status, qt.Equals, 503)
}

// TestDeadlines lets the deadline pass while a call waits for a slot, which is then known not to have run, and while
// one runs.
func TestDeadlines(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	sidecar := newNode(t, "sidecar")
	u := newUpstream(t, func(http.ResponseWriter, *http.Request) { <-release })
	local := u.local("v1")
	local.Slots = 1
	snapshot := snapshotConfig{endpoints: []*balancer.Endpoint{sidecar.endpoint("v1")}, local: local, timeoutMs: 1500}
	sidecar.publish(snapshot)
	running := make(chan reply)
	go func() { running <- do("POST", sidecar.url("/post"), "a") }()
	eventually(t, "the first call runs", func() bool { return u.runs.Load() == 1 })
	snapshot.timeoutMs = 100
	sidecar.publish(snapshot)
	waiting := do("POST", sidecar.url("/post"), "b")
	qt.Assert(t, waiting.run, qt.Equals, "no")
	qt.Assert(t, (<-running).run, qt.Equals, "unknown")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestLeavingUpstreamGetsNoNewWork drains the upstream while a call waits: that call is refused as not run, and the
// running one completes.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	release := make(chan struct{})
	entry, sidecar, u := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	})
	endpoints := []*balancer.Endpoint{sidecar.endpoint("v1")}
	local := u.local("v1")
	local.Slots = 1
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
	replies := make(chan reply, 2)
	go func() { replies <- do("POST", entry.url("/post"), "a") }()
	eventually(t, "the first call runs", func() bool { return u.runs.Load() == 1 })
	go func() { replies <- do("POST", entry.url("/post"), "b") }()
	// The entry node sends the second call twice: once for a free slot, then for a place in the queue.
	eventually(t, "the second call waits", func() bool { return sidecar.Stats().Relayed.Load() == 3 })
	leaving := *local
	leaving.Draining = true
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: &leaving})
	r := <-replies
	qt.Assert(t, r.run, qt.Equals, "no")
	// The entry node does not know that the upstream is draining: the upstream's node refuses the new call.
	qt.Assert(t, do("POST", entry.url("/post"), "c").refusal, qt.Equals, "leaving")
	close(release)
	qt.Assert(t, (<-replies).body, qt.Equals, "done")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestCrashingRequestIsReported closes the upstream while a request runs: the request's fingerprint is reported, and
// once the routing snapshot lists it, the request is refused without a run.
func TestCrashingRequestIsReported(t *testing.T) {
	sidecar := newNode(t, "sidecar")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	endpoints := []*balancer.Endpoint{sidecar.endpoint("v1")}
	local := &router.Local{Service: "s", Version: "v1", Address: l.Addr().String(), Slots: 1, Connections: 4}
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
	r := do("GET", sidecar.url("/get/poison"), "")
	qt.Assert(t, r.run, qt.Equals, "unknown")
	fingerprints := <-sidecar.crashes
	qt.Assert(t, fingerprints, qt.HasLen, 1)
	sidecar.publish(snapshotConfig{endpoints: endpoints, local: local, refused: map[uint64]bool{fingerprints[0]: true}})
	r = do("GET", sidecar.url("/get/poison"), "")
	qt.Assert(t, r.status, qt.Equals, 422)
	qt.Assert(t, r.run, qt.Equals, "no")
}

// keyedMesh starts nodes of one service, which share its idempotency keys and one upstream.
func keyedMesh(
	t *testing.T, count int, handler http.HandlerFunc,
) (nodes []*testNode, u *upstreamServer, snapshot snapshotConfig) {
	t.Helper()
	u = newUpstream(t, handler)
	for i := range count {
		n := newNode(t, fmt.Sprintf("n%d", i))
		nodes = append(nodes, n)
		snapshot.endpoints = append(snapshot.endpoints, n.endpoint("v1"))
	}
	snapshot.local = u.local("v1")
	for _, n := range nodes {
		n.publish(snapshot)
	}
	return nodes, u, snapshot
}

func TestKeyRunsOnce(t *testing.T) {
	nodes, u, _ := keyedMesh(t, 3, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "paid")
	})
	replies := make(chan reply, 30)
	for i := range 30 {
		go func() { replies <- do("POST", nodes[i%3].url("/post"), "pay", "Idempotency-Key", "k1") }()
	}
	for range 30 {
		r := <-replies
		qt.Assert(t, r.err, qt.IsNil)
		qt.Assert(t, r.body, qt.Equals, "paid")
	}
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
	qt.Assert(t, do("POST", nodes[0].url("/post"), "pay", "Idempotency-Key", "k2").body, qt.Equals, "paid")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(2))
}

// TestKeyOutlivesItsOwner removes each of the nodes after keys have run: the others must not run them again.
func TestKeyOutlivesItsOwner(t *testing.T) {
	for gone := range 3 {
		nodes, u, snapshot := keyedMesh(t, 3, respondWith("paid"))
		for i := range 10 {
			key := fmt.Sprintf("k%d", i)
			qt.Assert(t, do("POST", nodes[0].url("/post"), "pay", "Idempotency-Key", key).body, qt.Equals, "paid")
		}
		rest := snapshotConfig{local: snapshot.local}
		for i, e := range snapshot.endpoints {
			if i != gone {
				rest.endpoints = append(rest.endpoints, e)
			}
		}
		for i, n := range nodes {
			if i != gone {
				n.publish(rest)
			}
		}
		for i := range 10 {
			r := do("POST", nodes[(gone+1)%3].url("/post"), "pay", "Idempotency-Key", fmt.Sprintf("k%d", i))
			if r.body != "paid" {
				qt.Assert(t, r.run, qt.Equals, "unknown")
			}
		}
		qt.Assert(t, u.runs.Load(), qt.Equals, int64(10))
	}
}

// TestKeyOutlivesTwoReplicas removes every pair of four nodes after keys have run: the others must not run them again.
// In a soak run with seed 13, both nodes that held a key were gone within three seconds.
func TestKeyOutlivesTwoReplicas(t *testing.T) {
	for _, gone := range [][2]int{{0, 1}, {0, 2}, {0, 3}, {1, 2}, {1, 3}, {2, 3}} {
		nodes, u, snapshot := keyedMesh(t, 4, respondWith("paid"))
		for i := range 10 {
			key := fmt.Sprintf("k%d", i)
			qt.Assert(t, do("POST", nodes[0].url("/post"), "pay", "Idempotency-Key", key).body, qt.Equals, "paid")
		}
		rest := snapshotConfig{local: snapshot.local}
		var remaining []*testNode
		for i, e := range snapshot.endpoints {
			if i != gone[0] && i != gone[1] {
				rest.endpoints = append(rest.endpoints, e)
				remaining = append(remaining, nodes[i])
			}
		}
		for _, n := range remaining {
			n.publish(rest)
		}
		for i := range 10 {
			r := do("POST", remaining[0].url("/post"), "pay", "Idempotency-Key", fmt.Sprintf("k%d", i))
			if r.body != "paid" {
				qt.Assert(t, r.run, qt.Equals, "unknown")
			}
		}
		qt.Assert(t, u.runs.Load(), qt.Equals, int64(10))
	}
}

// TestTakenKeyIsNotRunAfterLostRefusal cuts a node's refusal to reserve a key, which is taken, after its head: the key's owner
// must not run the call, although a third node reserves the key.
func TestTakenKeyIsNotRunAfterLostRefusal(t *testing.T) {
	const keys = 8
	p := newScriptedPeer(t, func(operation string, w net.Conn) bool {
		if operation == "reserve" {
			_, _ = io.WriteString(w, nodeRefusal("409", "unknown")+"Content-Length: 6\r\n\r\n")
		}
		return false
	})
	nodes, u, snapshot := keyedMesh(t, 2, respondWith("paid"))
	snapshot.endpoints = append(snapshot.endpoints, endpoint("peer", "v1", p.address))
	for _, n := range nodes {
		n.publish(snapshot)
	}
	// Some of the keys are owned by a real node.
	for i := range keys {
		r := do("POST", nodes[0].url("/post"), "pay", "Idempotency-Key", fmt.Sprint(i))
		qt.Assert(t, r.run, qt.Equals, "unknown", qt.Commentf("%+v", r))
	}
	qt.Assert(t, p.operations(), qt.Contains, "reserve")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestRolloutShare checks that the new version gets its share of 100 calls, give or take one.
func TestRolloutShare(t *testing.T) {
	entry := newNode(t, "entry")
	var served [2]*upstreamServer
	var endpoints []*balancer.Endpoint
	var nodes []*testNode
	for i, version := range []string{"v1", "v2"} {
		served[i] = newUpstream(t, respondWith(version))
		n := newNode(t, "sidecar-"+version)
		nodes = append(nodes, n)
		endpoints = append(endpoints, n.endpoint(version))
	}
	for i, n := range nodes {
		n.publish(snapshotConfig{endpoints: endpoints, local: served[i].local(endpoints[i].Version)})
	}
	for _, test := range []struct {
		share float64
		want  int64
	}{{0, 0}, {0.1, 10}, {0.5, 50}, {1, 100}} {
		rollout := &router.Rollout{Name: fmt.Sprint(test.share), From: "v1", To: "v2", Share: test.share}
		entry.publish(snapshotConfig{endpoints: endpoints, rollout: rollout})
		before := served[1].runs.Load()
		for range 100 {
			qt.Assert(t, do("GET", entry.url("/get"), "").err, qt.IsNil)
		}
		got := served[1].runs.Load() - before
		comment := qt.Commentf("share %v: v2 got %d of 100 calls", test.share, got)
		qt.Assert(t, got >= test.want-1 && got <= test.want+1, qt.IsTrue, comment)
	}
}
