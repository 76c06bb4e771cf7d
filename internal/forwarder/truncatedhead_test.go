package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// truncatedHeads are response heads that are cut at each byte. Some are followed by the start of a body, which is cut too.
var truncatedHeads = map[string]string{
	"with a length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhell",
	"chunked":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r",
	"empty body":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r",
	"bodyless":      "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-Seal: s\r\n\r",
	"no length":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r",
	"interim first": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\n\r",
}

// assertNoSuccess checks that a call got a failure of the node's own or an error, but no complete success.
func assertNoSuccess(t *testing.T, r reply, cut string) {
	t.Helper()
	if r.err == nil {
		qt.Assert(t, r.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("cut after %q: %+v", cut, r))
		qt.Assert(t, r.run, qt.Not(qt.Equals), "")
	}
}

// TestTruncatedHeadsAreNoResponses closes the connection of an upstream at each byte of its response's head: the caller must
// not get a success with an empty or short body.
func TestTruncatedHeadsAreNoResponses(t *testing.T) {
	for name, response := range truncatedHeads {
		t.Run(name, func(t *testing.T) {
			cut := ""
			entry := sealedMesh(t, 20_000, func(w http.ResponseWriter, _ *http.Request) {
				c := hijack(w)
				_, _ = io.WriteString(c, cut)
				_ = c.Close()
			})
			for i := range len(response) + 1 {
				cut = response[:i]
				assertNoSuccess(t, do("POST", entry.url("/post"), "pay", "X-Id", "1"), cut)
			}
		})
	}
}

// TestTruncatedHeadsOfNodesAreNoResponses closes the connection of another node at each byte of its response's head.
func TestTruncatedHeadsOfNodesAreNoResponses(t *testing.T) {
	for name, response := range truncatedHeads {
		t.Run(name, func(t *testing.T) {
			cut := ""
			entry := newNodeWith(t, "entry", sealedDialect())
			p := newScriptedPeer(t, func(operation string, w net.Conn) bool {
				if operation == "claim" {
					return refuse(w, http.StatusBadGateway, "answer-lost", "unknown")
				}
				_, _ = io.WriteString(w, cut)
				return false
			})
			entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", p.address)}})
			for i := range len(response) + 1 {
				cut = response[:i]
				assertNoSuccess(t, do("POST", entry.url("/post"), "pay", "X-Id", "1"), cut)
			}
		})
	}
}

// TestTruncatedHeadAfterResponse sends a part of a second head behind a complete response, on a kept connection: the next
// call must get its own response or an error.
func TestTruncatedHeadAfterResponse(t *testing.T) {
	for _, extra := range []string{"H", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nX-Se", "HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r"} {
		t.Run(fmt.Sprintf("%q", extra), func(t *testing.T) {
			entry := sealedMesh(t, 20_000, func(w http.ResponseWriter, r *http.Request) {
				c := hijack(w)
				defer func() { _ = c.Close() }()
				for {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s%s",
						r.Header.Get("X-Id"), len(r.URL.Path), r.URL.Path, extra)
					_, err := io.ReadFull(c, make([]byte, 1))
					if err != nil {
						return
					}
				}
			})
			for i := range 20 {
				path := fmt.Sprintf("/post/%d", i)
				r := do("POST", entry.url(path), "pay", "X-Id", strings.TrimPrefix(path, "/post/"))
				if r.err == nil && r.status == http.StatusOK {
					qt.Assert(t, r.body, qt.Equals, path)
				}
			}
		})
	}
}
