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

// TestSilentNodeWithoutAlternative lets the only node answer late and without signs of life, as over a crowded link: the
// call is not given up, since its answer may still come.
func TestSilentNodeWithoutAlternative(t *testing.T) {
	const delay = 600 * time.Millisecond
	peer := newScriptedPeer(t, func(_ string, w net.Conn) bool {
		time.Sleep(delay)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		return true
	})
	entry := newNode(t, "entry")
	entry.publish(viewConfig{endpoints: []*balancer.Endpoint{{Node: "late", Zone: "a", Version: "v1", PeerAddress: peer.address, Slots: 4}}})
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
	qt.Assert(t, r.body, qt.Equals, "late")
}

// TestLeavingNodeWaitsForASilentOne stops the entry node while the node that has its call is silent for longer than is
// suspicious: the call is not given up for another upstream, since its own may be at work on it.
func TestLeavingNodeWaitsForASilentOne(t *testing.T) {
	const delay, life = 600 * time.Millisecond, 5 * time.Second
	entry, peer, u := withPeer(t, func(_ string, w net.Conn) bool {
		time.Sleep(delay)
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		return true
	})
	entry.common.Settings.DrainTimeout = life
	far := endpoint("beside", "v1", "127.0.0.1:1")
	far.Zone = "far"
	far.WarmAt = time.Now().Add(time.Hour)
	entry.publish(viewConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", peer.address), far}, leaving: true})
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.body, qt.Equals, "late", qt.Commentf("%+v", r))
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestSlowKindIsNotSentAgain runs a call of a kind that takes long beside many short ones, which answer meanwhile: its
// upstream is not suspected for what is usual for its kind, and sees it once.
func TestSlowKindIsNotSentAgain(t *testing.T) {
	const work = 300 * time.Millisecond
	var runs atomic.Int32
	beside := newNode(t, "beside")
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/long" {
			runs.Add(1)
			time.Sleep(work)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	beside.publish(viewConfig{endpoints: beside.endpoints("v1"), local: u.local("v1")})
	for range 30 {
		qt.Assert(t, do("GET", beside.url("/high/short"), "").body, qt.Equals, "/high/short")
	}
	for i := range int32(2) {
		answered := make(chan reply)
		go func() { answered <- do("GET", beside.url("/get/long"), "") }()
		for range 10 {
			time.Sleep(work / 10)
			do("GET", beside.url("/high/short"), "")
		}
		qt.Assert(t, (<-answered).body, qt.Equals, "/get/long")
		if i == 0 {
			// The first call of a kind can't be told from a lost one.
			runs.Store(0)
		}
	}
	qt.Assert(t, runs.Load(), qt.Equals, int32(1))
}
