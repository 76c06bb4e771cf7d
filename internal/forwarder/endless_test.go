package forwarder_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// endlessTimeout is the time within which a connection that sends no valid response must be closed.
	endlessTimeout = 3 * time.Second
	// endlessBytes limits what an upstream can send until then, including the kernel's socket buffers.
	endlessBytes = 64 << 20
)

// endlessSender writes a head, in which it replaces idPlaceholder by the request's ID, then repeats a piece until the
// connection is closed. It counts the bytes of the pieces.
type endlessSender struct {
	head, piece string
	written     atomic.Int64
	// ended is closed once the first of the connections has ended.
	ended     chan struct{}
	closeOnce sync.Once
}

// idPlaceholder stands for the request's ID in the head of an endlessSender.
const idPlaceholder = "{id}"

func newEndlessSender(head, piece string) *endlessSender {
	return &endlessSender{head: head, piece: piece, ended: make(chan struct{})}
}

func (e *endlessSender) serve(w http.ResponseWriter, r *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	e.send(c, r.Header.Get("X-Id"))
}

// send sends the response to the request with an ID.
func (e *endlessSender) send(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	defer e.closeOnce.Do(func() { close(e.ended) })
	_, _ = io.WriteString(c, strings.ReplaceAll(e.head, idPlaceholder, id))
	piece := bytes.Repeat([]byte(e.piece), 1+4096/len(e.piece))
	for e.written.Load() < endlessBytes {
		n, err := c.Write(piece)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// assertCutOff checks that the connection of an endless response is closed long before its sender gives up.
func (e *endlessSender) assertCutOff(t *testing.T) {
	t.Helper()
	select {
	case <-e.ended:
	case <-time.After(endlessTimeout):
		t.Fatalf("the connection was not closed after %d bytes", e.written.Load())
	}
	qt.Assert(t, e.written.Load() < endlessBytes, qt.IsTrue, qt.Commentf("%d bytes were read", e.written.Load()))
}

// TestEndlessInvalidResponses lets an upstream send an endless invalid response: its connection must be closed, and the
// error response to the caller must not claim that the payment has not run.
func TestEndlessInvalidResponses(t *testing.T) {
	tests := []struct{ name, head, piece string }{
		{"noise", "", "\x00\x01noise"},
		{"endless header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"endless header lines", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		{"endless interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"endless chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEndlessSender(test.head, test.piece)
			entry, _, _ := pair(t, e.serve)
			began := time.Now()
			r := do("POST", entry.url("/post"), "pay")
			qt.Assert(t, time.Since(began) < endlessTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			if r.err == nil && r.status != http.StatusOK {
				qt.Assert(t, r.run, qt.Equals, "unknown")
			}
			e.assertCutOff(t)
		})
	}
}

// TestEndlessBodyEndsWithTheCaller closes the caller's connection during an endless body: the upstream's connection
// must be closed as well.
func TestEndlessBodyEndsWithTheCaller(t *testing.T) {
	const readBytes = 4 << 20
	e := newEndlessSender("HTTP/1.1 200 OK\r\n\r\n", "x")
	entry, _, _ := pair(t, e.serve)
	callers, _ := entry.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(c, get("/get"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.CopyN(io.Discard, c, readBytes)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Close(), qt.IsNil)
	e.assertCutOff(t)
}
