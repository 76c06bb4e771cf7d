package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestClaimForAnotherProcess claims a call that was sent to an earlier process at the node's address. The call may have
// run there, so the node must not say that it has not.
func TestClaimForAnotherProcess(t *testing.T) {
	node := newNode(t, "restarted")
	node.publish(snapshotConfig{})
	_, peers := node.Addresses()
	c, err := net.Dial("tcp", peers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /claim HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n"+
		"Tamarackpitch-Operation: claim\r\nTamarackpitch-Id: 7\r\nTamarackpitch-Time-Left: 1000\r\n"+
		"Tamarackpitch-Process: abc\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	response, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(response), qt.Contains, "Tamarackpitch-Run: unknown")
}

// TestFailureIsReturnedIfNoOtherUpstreamTakesTheCall lets the only upstream fail: the caller gets the upstream's
// response rather than a refusal of the node.
func TestFailureIsReturnedIfNoOtherUpstreamTakesTheCall(t *testing.T) {
	d := sealedDialect()
	sidecar := newNodeWith(t, "sidecar", d)
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		http.Error(w, "broken", http.StatusInternalServerError)
	})
	sidecar.publish(snapshotConfig{endpoints: sidecar.endpoints("v1"), local: u.local("v1")})
	r := do("GET", sidecar.url("/get"), "", "X-Id", "1")
	qt.Assert(t, r.status, qt.Equals, http.StatusInternalServerError)
	qt.Assert(t, strings.TrimSpace(r.body), qt.Equals, "broken")
}
