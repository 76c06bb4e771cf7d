package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// swallower is an upstream that sends a second response to the call with the ID 1 when the next call has arrived, and cuts
// its body. The response to that call follows, whose bytes the body's length then includes, and a second one with other
// content under the same ID.
type swallower struct{ bodyBytes int }

const (
	swallowedResponse = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nfirst"
	secondContent     = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 6\r\n\r\nsecond"
)

func (s swallower) serve(c net.Conn) {
	for r := range requestsOn(c) {
		if r.Header.Get("X-Id") == "1" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ndone")
			continue
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n", s.bodyBytes)
		_, _ = io.WriteString(c, swallowedResponse)
		time.Sleep(secondDelay)
		_, _ = io.WriteString(c, secondContent)
	}
}

// TestDiscardedResponseHidesNoOther lets the body of a discarded response include the response to the call in progress: a
// second response with other content must not take its place.
func TestDiscardedResponseHidesNoOther(t *testing.T) {
	whole := len(swallowedResponse)
	for _, bodyBytes := range []int{whole, whole - 1, whole - len("first"), strings.Index(swallowedResponse, "X-Seal")} {
		t.Run(fmt.Sprint(bodyBytes), func(t *testing.T) {
			n := newNodeWith(t, "entry", sealedDialect())
			publishOneConnection(t, n, swallower{bodyBytes}.serve)
			qt.Assert(t, do("GET", n.url("/get"), "", "X-Id", "1").status, qt.Equals, 200)
			time.Sleep(idleTime)
			r := do("GET", n.url("/get"), "", "X-Id", "2", "X-Time-Left", "300")
			qt.Assert(t, r.err == nil && r.status < 300 && r.body != "first", qt.IsFalse, qt.Commentf("%+v", r))
		})
	}
}

// TestTrailersHideNoResponse cuts a late response to another call in its last chunk's line, extension or trailers, so that
// these include the response to the call in progress, a failure. A second response with other content under the same ID must
// not take its place.
func TestTrailersHideNoResponse(t *testing.T) {
	const failure = "HTTP/1.1 500 Failed\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"
	for _, end := range []string{"0\r\n", "0;x=", "0\r\nX-Trailer: ", "0\r\nX-Trailer: 1\r\n"} {
		t.Run(end, func(t *testing.T) {
			n := newNodeWith(t, "entry", sealedDialect())
			u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Id") == "1" {
					w.Header().Set("X-Id", "1")
					w.Header().Set("X-Seal", "s")
					return
				}
				c := hijack(w)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"+end+failure)
				time.Sleep(secondDelay)
				_, _ = io.WriteString(c, secondContent)
				awaitClose(c)
			})
			local := u.local("v1")
			local.Connections = 1
			n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: local, timeoutMs: 1000, attempts: 1})
			qt.Assert(t, do("GET", n.url("/get"), "", "X-Id", "1").status, qt.Equals, 200)
			time.Sleep(idleTime)
			r := do("GET", n.url("/get"), "", "X-Id", "2", "X-Time-Left", "300")
			qt.Assert(t, r.err == nil && r.status < 300, qt.IsFalse, qt.Commentf("%+v", r))
		})
	}
}

// TestRepeatedLateResponsesEndNoCall lets an upstream send each response a second time before the response to the next call on
// the connection: all calls must get theirs.
func TestRepeatedLateResponsesEndNoCall(t *testing.T) {
	const calls = 6
	n := newNodeWith(t, "entry", sealedDialect())
	u := &upstreamServer{address: serveConnections(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		input := bufio.NewReader(c)
		late := ""
		for {
			r, err := http.ReadRequest(input)
			if err != nil {
				return
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("X-Id"))
			_, _ = io.WriteString(c, late)
			time.Sleep(secondDelay)
			_, _ = io.WriteString(c, response)
			late = response
		}
	})}
	local := u.local("v1")
	local.Connections = 1
	n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: local, timeoutMs: 1000})
	for i := range calls {
		r := do("POST", n.url("/post"), "", "X-Id", fmt.Sprintf("call-%d", i))
		qt.Assert(t, r.status, qt.Equals, 200, qt.Commentf("call %d: %+v", i, r))
		time.Sleep(idleTime)
	}
}
