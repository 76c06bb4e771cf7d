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

// maxKeptBody is the length up to which the response of a call is kept for a caller that asks for it later.
const maxKeptBody = 64 << 10

// startPost sends a non-idempotent request with further header lines on a new connection.
func startPost(t *testing.T, n *testNode, headers string) net.Conn {
	t.Helper()
	callers, _ := n.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(c, strings.Replace(post("/post"), "\r\n", "\r\n"+headers, 1))
	qt.Assert(t, err, qt.IsNil)
	return c
}

// leaveDelay is how long nodes get to notice that a caller has closed its connection.
const leaveDelay = 100 * time.Millisecond

// TestEndlessResponseWithoutCaller closes the caller's connection before the upstream responds to a non-idempotent call,
// which continues without its caller: the endless response must not be read to the deadline.
func TestEndlessResponseWithoutCaller(t *testing.T) {
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			e := endlessBody("HTTP/1.1 200 OK\r\n", framing)
			running, left := make(chan struct{}), make(chan struct{})
			entry, sidecar, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-left
				e.serve(w, r)
			})
			c := startPost(t, entry, "")
			<-running
			qt.Assert(t, c.Close(), qt.IsNil)
			eventually(t, "the entry node's call has ended", func() bool { return entry.Stats().Cancelled.Load() == 1 })
			time.Sleep(leaveDelay)
			qt.Assert(t, sidecar.Stats().Cancelled.Load(), qt.Equals, uint64(0))
			close(left)
			e.assertCutOff(t)
			eventually(t, "the sidecar's call has ended", func() bool { return sidecar.Stats().Cancelled.Load() == 1 })
		})
	}
}

// TestEndlessResponseEndsWithItsCaller closes the caller's connection during an endless response to a non-idempotent call:
// since it is too long to be kept, the call must not continue without its caller.
func TestEndlessResponseEndsWithItsCaller(t *testing.T) {
	const readBytes = 1 << 20
	e := endlessBody("HTTP/1.1 200 OK\r\n", noEnd)
	entry, sidecar, _ := pair(t, e.serve)
	c := startPost(t, entry, "")
	_, err := io.CopyN(io.Discard, c, readBytes)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Close(), qt.IsNil)
	e.assertCutOff(t)
	eventually(t, "the sidecar's call has ended", func() bool { return sidecar.Stats().Cancelled.Load() == 1 })
}

// TestEndlessFailureIsStreamed sends an endless failure to a non-idempotent call, which is not retried: the caller must get
// it as fast as it reads, and the upstream's connection must be closed once the caller leaves.
func TestEndlessFailureIsStreamed(t *testing.T) {
	const (
		readBytes = 1 << 20
		pause     = 300 * time.Millisecond
	)
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			e := endlessBody(suppressedHeads["failure"], framing)
			entry := sealedMesh(t, 20_000, e.serve, e.serve)
			c := startPost(t, entry, "X-Id: 1\r\n")
			reader := bufio.NewReader(c)
			line, err := reader.ReadString('\n')
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, line, qt.Contains, " 500 ")
			_, err = io.CopyN(io.Discard, reader, readBytes)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(pause)
			qt.Assert(t, e.written.Load() < endlessBytes, qt.IsTrue, qt.Commentf("%d bytes were read", e.written.Load()))
			qt.Assert(t, c.Close(), qt.IsNil)
			e.assertCutOff(t)
		})
	}
}

// TestKeyedResponseWithoutCaller closes the caller's connection before the upstream responds to a keyed call: its response
// is kept for the next call with the key if it is short enough, and never read without end.
func TestKeyedResponseWithoutCaller(t *testing.T) {
	tests := []struct {
		name     string
		length   int
		wantRun  string
		wantBody int
	}{
		{"kept", maxKeptBody, "", maxKeptBody},
		{"too long", maxKeptBody + 1, "unknown", len("answer-lost\n")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			running, left := make(chan struct{}), make(chan struct{})
			nodes, u, _ := keyedMesh(t, 3, func(w http.ResponseWriter, _ *http.Request) {
				close(running)
				<-left
				_, _ = io.WriteString(w, strings.Repeat("x", test.length))
			})
			c := startPost(t, nodes[0], "Idempotency-Key: k\r\n")
			<-running
			qt.Assert(t, c.Close(), qt.IsNil)
			time.Sleep(leaveDelay)
			close(left)
			r := do("POST", nodes[0].url("/post"), "pay", "Idempotency-Key", "k")
			qt.Assert(t, r.err, qt.IsNil)
			qt.Assert(t, r.run, qt.Equals, test.wantRun, qt.Commentf("status %d, refusal %q", r.status, r.refusal))
			qt.Assert(t, r.body, qt.HasLen, test.wantBody)
			qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
		})
	}
}

// TestEndlessKeyedResponseWithoutCaller closes the caller's connection, to the key's owner or another node, before the
// upstream sends an endless response to a keyed call: the key stays taken, with an unknown outcome.
func TestEndlessKeyedResponseWithoutCaller(t *testing.T) {
	for entry := range 3 {
		t.Run(fmt.Sprintf("node %d", entry), func(t *testing.T) {
			e := endlessBody("HTTP/1.1 200 OK\r\n", chunked)
			running, left := make(chan struct{}), make(chan struct{})
			nodes, u, _ := keyedMesh(t, 3, func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-left
				e.serve(w, r)
			})
			c := startPost(t, nodes[entry], "Idempotency-Key: k\r\n")
			<-running
			qt.Assert(t, c.Close(), qt.IsNil)
			time.Sleep(leaveDelay)
			close(left)
			e.assertCutOff(t)
			r := do("POST", nodes[entry].url("/post"), "pay", "Idempotency-Key", "k")
			qt.Assert(t, r.run, qt.Equals, "unknown", qt.Commentf("%+v", r))
			qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
		})
	}
}
