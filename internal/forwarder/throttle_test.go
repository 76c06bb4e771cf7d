package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// fullMesh returns an entry node whose service has ten upstreams, and the scripted nodes beside them.
func fullMesh(t *testing.T, s script) (entry *testNode, nodes []*scriptedPeer) {
	t.Helper()
	entry = newNodeWith(t, "entry", sealedDialect())
	var endpoints []*balancer.Endpoint
	for i := range 10 {
		p := newScriptedPeer(t, s)
		nodes = append(nodes, p)
		endpoints = append(endpoints, endpoint(fmt.Sprintf("node-%d", i), "v1", p.address))
	}
	entry.publish(snapshotConfig{endpoints: endpoints, timeoutMs: 2000, aimMs: 500})
	return entry, nodes
}

// offers returns how many calls the nodes were offered.
func offers(nodes []*scriptedPeer) int {
	n := 0
	for _, p := range nodes {
		n += len(p.operations())
	}
	return n
}

// TestFullServiceIsNotAskedThroughout sends a call to a service whose nodes all refuse it for lack of room, and report that
// they are full: at most two are asked for a free slot, at most two for a place in their queues, and the caller is told at
// once that the call has not run and when to come back.
func TestFullServiceIsNotAskedThroughout(t *testing.T) {
	entry, nodes := fullMesh(t, func(_ string, w net.Conn) bool {
		_, _ = fmt.Fprint(w, "HTTP/1.1 503 X\r\nTamarackpitch-Run: no\r\nTamarackpitch-Refusal: busy\r\n"+
			"Tamarackpitch-Load: 9 100.0\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	began := time.Now()
	r := do("GET", entry.url("/get"), "", "X-Id", "1")
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	qt.Assert(t, offers(nodes) <= 4, qt.IsTrue, qt.Commentf("%d offers", offers(nodes)))
}

// TestOverloadIsRefusedAtTheEntry sends many calls to a service that has no room for any. Most of the later ones are refused
// without asking a node. Once the nodes have room again, calls are served.
func TestOverloadIsRefusedAtTheEntry(t *testing.T) {
	room := make(chan struct{})
	entry, nodes := fullMesh(t, func(_ string, w net.Conn) bool {
		select {
		case <-room:
			_, _ = fmt.Fprint(w, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 6\r\n\r\nserved")
			return true
		default:
			return refuse(w, 503, "queue-full", "no")
		}
	})
	const calls = 60
	for i := range calls {
		r := do("GET", entry.url("/get"), "", "X-Id", fmt.Sprint(i))
		qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, r.run, qt.Equals, "no")
	}
	refused := entry.Stats().Refusals()
	qt.Assert(t, refused["service-full"] > calls/2, qt.IsTrue, qt.Commentf("%v", refused))
	qt.Assert(t, offers(nodes) < 3*calls, qt.IsTrue, qt.Commentf("%d offers", offers(nodes)))
	close(room)
	eventually(t, "a call is served", func() bool {
		return do("GET", entry.url("/get"), "", "X-Id", "back").status == http.StatusOK
	})
}

// TestLateReturnsGiveWay fills a service and lets a caller come back after its latency target: while calls in time find hardly
// a free slot, it is refused without asking a node.
func TestLateReturnsGiveWay(t *testing.T) {
	entry, nodes := fullMesh(t, func(_ string, w net.Conn) bool {
		_, _ = fmt.Fprint(w, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nTamarackpitch-Load: 9 100.0\r\nContent-Length: 6\r\n\r\nserved")
		return true
	})
	for i := range 10 {
		r := do("GET", entry.url("/get"), "", "X-Id", fmt.Sprint(i), "X-Time-Left", "1500")
		qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	}
	before := offers(nodes)
	r := do("GET", entry.url("/get"), "", "X-Id", "back", "X-Time-Left", "900")
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.run, qt.Equals, "no")
	qt.Assert(t, offers(nodes), qt.Equals, before)
}

// TestVaryingLimitsAreNotReturns fills services for callers whose time limits are all different and below the route's timeout.
// They are not taken for callers that come back early, of whom none would be offered to a node. Of others a few are, at random:
// between two and three for each service. Fewer than five for all are less likely than once in a million runs.
func TestVaryingLimitsAreNotReturns(t *testing.T) {
	const (
		services  = 10
		minOffers = 5
	)
	offered := 0
	for range services {
		offered += offersWhenFull(t)
	}
	qt.Assert(t, offered >= minOffers, qt.IsTrue, qt.Commentf("%d offers", offered))
}

// offersWhenFull fills a service for callers whose time limits vary, and returns how many of as many further calls the nodes
// were offered.
func offersWhenFull(t *testing.T) int {
	t.Helper()
	entry, nodes := fullMesh(t, func(_ string, w net.Conn) bool { return refuse(w, 503, "queue-full", "no") })
	const calls = 200
	send := func(i int) {
		r := do("GET", entry.url("/get"), "", "X-Id", fmt.Sprint(i), "X-Time-Left", fmt.Sprint(1999-i%50))
		qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	}
	for i := range calls {
		send(i)
	}
	refused, before := entry.Stats().Refusals(), offers(nodes)
	qt.Assert(t, refused["service-full"] > 0, qt.IsTrue, qt.Commentf("%v", refused))
	for i := range calls {
		send(calls + i)
	}
	return offers(nodes) - before
}
