package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

const (
	// failureHead is the head of a sealed failure response; its parameters are the request's ID and a framing field.
	failureHead = "HTTP/1.1 500 Internal Server Error\r\nX-Id: %s\r\nX-Seal: s\r\n%s\r\n\r\n"
	// silentTimeoutMs is the routes' timeout in tests of silent upstreams.
	silentTimeoutMs = 600
)

// hijack takes over an upstream's connection.
func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// sealedMesh starts an entry node without an upstream and a node beside each given upstream.
func sealedMesh(t *testing.T, timeoutMs uint32, handlers ...http.HandlerFunc) *testNode {
	t.Helper()
	entry := newNodeWith(t, "entry", sealedDialect())
	var endpoints []*balancer.Endpoint
	for i, handler := range handlers {
		n := newNodeWith(t, fmt.Sprintf("sidecar-%d", i), sealedDialect())
		endpoints = append(endpoints, n.endpoint("v1"))
		u := newUpstream(t, handler)
		n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1"), timeoutMs: timeoutMs})
	}
	entry.publish(snapshotConfig{endpoints: endpoints, timeoutMs: timeoutMs, attempts: uint32(len(handlers))})
	return entry
}

// TestSilentFailureIsNotSentAsComplete lets an upstream fall silent while it sends a failure response: at the timeout,
// the caller must not get the part received so far framed as the whole response.
func TestSilentFailureIsNotSentAsComplete(t *testing.T) {
	tests := []struct{ name, framing, body string }{
		{"no body", "Content-Length: 8000", ""},
		{"part of the body", "Content-Length: 8000", "partial"},
		{"part of a chunk", "Transfer-Encoding: chunked", "7\r\npar"},
		{"no last chunk", "Transfer-Encoding: chunked", "7\r\npartial\r\n"},
		{"no length", "Cache-Control: no-store", "partial"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			silent := func(w http.ResponseWriter, r *http.Request) {
				c := hijack(w)
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, failureHead+"%s", r.Header.Get("X-Id"), test.framing, test.body)
				<-release
			}
			entry := sealedMesh(t, silentTimeoutMs, silent, silent)
			r := do("GET", entry.url("/get"), "", "X-Id", "1")
			qt.Assert(t, r.err, qt.IsNil)
			qt.Assert(t, r.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%+v", r))
			qt.Assert(t, r.header.Get("X-Seal"), qt.Equals, "")
		})
	}
}

// TestCompleteFailureOutlivesSilentRetry retries a call that has failed at one upstream at another one, which falls
// silent in the middle of its own failure response: the caller gets the first, complete response.
func TestCompleteFailureOutlivesSilentRetry(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	var runs atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Seal", "s")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = fmt.Fprint(w, "complete")
			return
		}
		c := hijack(w)
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, failureHead+"partial", r.Header.Get("X-Id"), "Content-Length: 8000")
		<-release
	}
	// With a third upstream left to try, the second failure response may be replaced as well.
	entry := sealedMesh(t, silentTimeoutMs, fail, fail, fail)
	r := do("GET", entry.url("/get"), "", "X-Id", "1")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, runs.Load(), qt.Equals, int32(2))
	qt.Assert(t, r.status, qt.Equals, http.StatusInternalServerError)
	qt.Assert(t, r.body, qt.Equals, "complete")
}
