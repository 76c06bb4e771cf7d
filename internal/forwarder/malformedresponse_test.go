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
	"github.com/tamarackpitch/tamarackpitch/internal/standin/corrupter"
)

const (
	// okLine begins a response, and sealedFields are the fields that make it valid as the response to the call with the ID 1.
	okLine       = "HTTP/1.1 200 OK\r\n"
	sealedFields = "X-Seal: s\r\nX-Id: 1\r\n"
	// fiveBytes ends a head and is followed by the body that it states.
	fiveBytes = "Content-Length: 5\r\n\r\nhello"
)

// malformedResponses returns responses that break the grammar, by kind.
func malformedResponses() map[string][]corrupter.Response {
	c := corrupter.New(corrupter.Config{Fields: sealedFields, Body: "hello"})
	return map[string][]corrupter.Response{"field": c.Fields(), "length": c.Lengths(), "status line": c.StatusLines(),
		"interim response": c.InterimResponses(), "chunk size": c.ChunkSizes(), "trailer": c.Trailers()}
}

// forEachMalformed runs a test for each malformed response and way of writing it.
func forEachMalformed(t *testing.T, test func(t *testing.T, text string, write func(io.Writer, string))) {
	for kind, responses := range malformedResponses() {
		for mode, write := range corrupter.WriteModes() {
			t.Run(kind+"/"+mode, func(t *testing.T) {
				for _, m := range responses {
					t.Run(m.Name, func(t *testing.T) { test(t, m.Text, write) })
				}
			})
		}
	}
}

// assertRefused checks that a call got a failure of the node's own: not the status, the seal or the body of the upstream's
// response.
func assertRefused(t *testing.T, r reply) {
	t.Helper()
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%+v", r))
	qt.Assert(t, r.run, qt.Equals, "unknown")
	qt.Assert(t, r.header.Get("X-Seal"), qt.Equals, "")
	qt.Assert(t, r.body, qt.Not(qt.Contains), "hello")
}

// TestMalformedResponsesOfUpstreams lets an upstream send responses that break the grammar: the caller must get none of them,
// and the payment must not run again.
func TestMalformedResponsesOfUpstreams(t *testing.T) {
	forEachMalformed(t, func(t *testing.T, text string, write func(io.Writer, string)) {
		entry := newNodeWith(t, "entry", sealedDialect())
		u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			write(c, text)
			_ = c.Close()
		})
		entry.publish(snapshotConfig{endpoints: entry.endpoints("v1"), local: u.local("v1"), timeoutMs: 2000})
		assertRefused(t, do("POST", entry.url("/post"), "pay", "X-Id", "1"))
		qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
	})
}

// TestMalformedResponsesOfNodes lets another node send responses that break the grammar.
func TestMalformedResponsesOfNodes(t *testing.T) {
	forEachMalformed(t, func(t *testing.T, text string, write func(io.Writer, string)) {
		entry := newNodeWith(t, "entry", sealedDialect())
		p := newScriptedPeer(t, func(operation string, w net.Conn) bool {
			if operation == "claim" {
				return refuse(w, http.StatusBadGateway, "answer-lost", "unknown")
			}
			write(w, text)
			return false
		})
		entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", p.address)}, timeoutMs: 2000})
		assertRefused(t, do("POST", entry.url("/post"), "pay", "X-Id", "1"))
	})
}

// TestMalformedResponseIsRetried lets one of two upstreams send a malformed response to an idempotent call: the caller must
// get the response of the other one.
func TestMalformedResponseIsRetried(t *testing.T) {
	entry, p, u := withPeer(t, func(_ string, w net.Conn) bool {
		_, _ = io.WriteString(w, okLine+"Content-Length : 5\r\n\r\nhello")
		return false
	})
	r := do("GET", entry.url("/get"), "")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.body, qt.Equals, "fallback")
	qt.Assert(t, p.operations(), qt.DeepEquals, []string{"call"})
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// TestMalformedResponseOnKeptConnection sends a malformed response to the second call on a kept connection, which stays open:
// the caller must be told at once, and the third call must get its own response.
func TestMalformedResponseOnKeptConnection(t *testing.T) {
	for _, malformed := range []string{"HTTP/1.1 000 OK\r\n" + sealedFields + fiveBytes,
		okLine + sealedFields + "Content-Length : 5\r\n\r\nhello", okLine + sealedFields + "no field\r\n" + fiveBytes} {
		t.Run(fmt.Sprintf("%.60q", malformed), func(t *testing.T) {
			n := newNodeWith(t, "entry", sealedDialect())
			publishOneConnection(t, n, func(c net.Conn) {
				for r := range requestsOn(c) {
					id := r.Header.Get("X-Id")
					if id == "1" {
						_, _ = io.WriteString(c, malformed)
						continue
					}
					_, _ = io.WriteString(c, okLine+"X-Seal: s\r\nX-Id: "+id+"\r\nContent-Length: 2\r\n\r\n#"+id)
				}
			})
			qt.Assert(t, do("POST", n.url("/post"), "", "X-Id", "0").body, qt.Equals, "#0")
			assertRefused(t, do("POST", n.url("/post"), "", "X-Id", "1"))
			qt.Assert(t, do("POST", n.url("/post"), "", "X-Id", "2").body, qt.Equals, "#2")
		})
	}
}

// TestLongResponseWithMalformedEnd sends a response that is too long to be buffered and malformed behind its last byte: it
// must not look complete.
func TestLongResponseWithMalformedEnd(t *testing.T) {
	piece := strings.Repeat("x", 0x10000)
	for _, trailers := range []string{"X-A : b\r\n", "no field\r\n", "X\x01A: b\r\n"} {
		t.Run(fmt.Sprintf("%q", trailers), func(t *testing.T) {
			entry := sealedMesh(t, 20_000, func(w http.ResponseWriter, r *http.Request) {
				c := hijack(w)
				_, _ = fmt.Fprintf(c, "%sX-Seal: s\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", okLine, r.Header.Get("X-Id"))
				for range 8 {
					_, _ = io.WriteString(c, "10000\r\n"+piece+"\r\n")
				}
				_, _ = io.WriteString(c, "0\r\n"+trailers+"\r\n")
				_ = c.Close()
			})
			r := do("GET", entry.url("/get"), "", "X-Id", "1")
			qt.Assert(t, r.err == nil && r.status < 300, qt.IsFalse, qt.Commentf("status %d, %d bytes", r.status, len(r.body)))
		})
	}
}

// TestUnusualResponses lets an upstream send responses that are rare and valid: the caller must get them.
func TestUnusualResponses(t *testing.T) {
	for mode, write := range corrupter.WriteModes() {
		for _, test := range []struct {
			text   string
			status int
			body   string
		}{
			{"HTTP/1.1 200 \r\n" + sealedFields + fiveBytes, 200, "hello"},
			{"HTTP/1.1 200 \r\nContent-Length:5\r\n" + sealedFields + "\r\nhello", 200, "hello"},
			{"HTTP/1.1 200 201 Tr\xe8s bien\t(yes): \"all\"\r\n" + sealedFields + fiveBytes, 200, "hello"},
			{"HTTP/1.1 299 Other\r\n" + sealedFields + fiveBytes, 299, "hello"},
			{"HTTP/1.1 599 Other\r\n" + sealedFields + fiveBytes, 599, "hello"},
			{"HTTP/1.0 200 OK\r\n" + sealedFields + "\r\nhello", 200, "hello"},
			{"HTTP/1.0 200 OK\r\n" + sealedFields + fiveBytes, 200, "hello"},
			{okLine + sealedFields + "\r\nhello", 200, "hello"},
			{okLine + "x-seal:s\r\nX-ID:1\r\ncontent-length:5\r\n\r\nhello", 200, "hello"},
			{okLine + sealedFields + "Content-Length:\t 005 \t\r\n\r\nhello", 200, "hello"},
			{okLine + sealedFields + "Content-Length: 5\r\n" + fiveBytes, 200, "hello"},
			{okLine + sealedFields + "X-Empty:\r\nX-Blank: \t \r\nX!#$%&'*+-.^_`|~1: a\xff:\t\"b\"\r\n" + fiveBytes, 200, "hello"},
			{okLine + sealedFields + strings.Repeat("X-A: b\r\n", 100) + fiveBytes, 200, "hello"},
			{okLine + sealedFields + "transfer-encoding:\tChunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200, "hello"},
			{okLine + sealedFields + "Transfer-Encoding: chunked\r\n\r\n" +
				"2;a=\"\xe8 b\";c\r\nhe\r\n03 \t\r\nllo\r\n000 ;x\r\nX-A: b\r\nX-B:\r\nX-C:\ta\xff\t\r\n\r\n", 200, "hello"},
			{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\nLink: a\r\nContent-Length: 0\r\n\r\n" +
				okLine + sealedFields + fiveBytes, 200, "hello"},
			{"HTTP/1.1 204 No Content\r\n" + sealedFields + "Content-Length: 0\r\n\r\n", 204, ""},
			{"HTTP/1.1 304 Not Modified\r\n" + sealedFields + "Content-Length: 5\r\n\r\n", 304, ""},
		} {
			t.Run(fmt.Sprintf("%s/%q", mode, test.text), func(t *testing.T) {
				entry := sealedMesh(t, 20_000, func(w http.ResponseWriter, _ *http.Request) {
					c := hijack(w)
					write(c, test.text)
					_ = c.Close()
				})
				r := do("POST", entry.url("/post"), "pay", "X-Id", "1")
				qt.Assert(t, r.err, qt.IsNil)
				qt.Assert(t, r.status, qt.Equals, test.status, qt.Commentf("%+v", r))
				qt.Assert(t, r.body, qt.Equals, test.body)
				qt.Assert(t, r.header.Get("X-Seal"), qt.Equals, "s")
			})
		}
	}
}
