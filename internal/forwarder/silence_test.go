package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// TestSilentNodeWithoutAlternative lets the only node respond late and without progress responses, as over a congested
// link: the call is not given up, since its response may still come.
func TestSilentNodeWithoutAlternative(t *testing.T) {
	const delay = 600 * time.Millisecond
	peer := newScriptedPeer(t, func(_ string, w net.Conn) bool {
		time.Sleep(delay)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		return true
	})
	entry := newNode(t, "entry")
	late := &balancer.Endpoint{Node: "late", Zone: "a", Version: "v1", PeerAddress: peer.address, Slots: 4}
	entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{late}})
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
	qt.Assert(t, r.body, qt.Equals, "late")
}

// TestLeavingNodeWaitsForSilentNode shuts the entry node down while the node that has its call is silent for longer
// than SilenceAfter: the call is not retried at another upstream, since the first may be processing it.
func TestLeavingNodeWaitsForSilentNode(t *testing.T) {
	const delay, drainTimeout = 600 * time.Millisecond, 5 * time.Second
	entry, peer, u := withPeer(t, func(_ string, w net.Conn) bool {
		time.Sleep(delay)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		return true
	})
	entry.common.Settings.DrainTimeout = drainTimeout
	alternative := endpoint("sidecar", "v1", "127.0.0.1:1")
	alternative.Zone = "far"
	alternative.WarmAt = time.Now().Add(time.Hour)
	endpoints := []*balancer.Endpoint{endpoint("peer", "v1", peer.address), alternative}
	entry.publish(snapshotConfig{endpoints: endpoints, leaving: true})
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.body, qt.Equals, "late", qt.Commentf("%+v", r))
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestSlowRouteIsNotResent runs a call of a slow route while many calls of a fast one are answered. The permitted
// silence depends on the mean service time of the route, so the slow call is not taken for lost, and the upstream sees
// it once.
func TestSlowRouteIsNotResent(t *testing.T) {
	const serviceTime = 300 * time.Millisecond
	var runs atomic.Int32
	sidecar := newNode(t, "sidecar")
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/long" {
			runs.Add(1)
			time.Sleep(serviceTime)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	sidecar.publish(snapshotConfig{endpoints: sidecar.endpoints("v1"), local: u.local("v1")})
	for range 30 {
		qt.Assert(t, do("GET", sidecar.url("/high/short"), "").body, qt.Equals, "/high/short")
	}
	for i := range int32(2) {
		answered := make(chan reply)
		go func() { answered <- do("GET", sidecar.url("/get/long"), "") }()
		for range 10 {
			time.Sleep(serviceTime / 10)
			do("GET", sidecar.url("/high/short"), "")
		}
		qt.Assert(t, (<-answered).body, qt.Equals, "/get/long")
		if i == 0 {
			// Without a measured service time, the first call of a route may be taken for lost and resent.
			runs.Store(0)
		}
	}
	qt.Assert(t, runs.Load(), qt.Equals, int32(1))
}

// TestSlowCallWithoutAlternativeIsAnswered lets the only upstream, beside another node, answer a call on a reused connection
// later than SilenceAfter, while it answers other calls: the caller gets the response, and the upstream sees the call once.
func TestSlowCallWithoutAlternativeIsAnswered(t *testing.T) {
	const serviceTime, otherInterval = 700 * time.Millisecond, 10 * time.Millisecond
	var runs atomic.Int32
	entry := sealedMesh(t, 5000, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seal", "s")
		if r.Header.Get("X-Id") == "slow" {
			runs.Add(1)
			time.Sleep(serviceTime)
		}
		_, _ = io.WriteString(w, "done")
	})
	qt.Assert(t, do("GET", entry.url("/get"), "", "X-Id", "first").status, qt.Equals, http.StatusOK)
	time.Sleep(idleTime)
	answered := make(chan reply, 1)
	go func() { answered <- do("GET", entry.url("/get"), "", "X-Id", "slow") }()
	for range int(serviceTime / otherInterval) {
		time.Sleep(otherInterval)
		do("GET", entry.url("/get"), "", "X-Id", "other")
	}
	r := <-answered
	qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
	qt.Assert(t, runs.Load(), qt.Equals, int32(1))
}
