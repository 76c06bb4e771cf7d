package forwarder_test

import (
	"io"
	"net"
	"net/http"
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
