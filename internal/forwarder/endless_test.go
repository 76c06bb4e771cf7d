package forwarder_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
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

// endlessSender writes a head, then repeats a piece until the connection is closed. It counts the bytes of the pieces.
type endlessSender struct {
	head, piece string
	written     atomic.Int64
	ended       chan struct{}
}

func (e *endlessSender) serve(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer close(e.ended)
	_, _ = io.WriteString(c, e.head)
	piece := bytes.Repeat([]byte(e.piece), 1+4096/len(e.piece))
	for e.written.Load() < endlessBytes {
		n, err := c.Write(piece)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
	}
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
			e := &endlessSender{head: test.head, piece: test.piece, ended: make(chan struct{})}
			entry, _, _ := pair(t, e.serve)
			began := time.Now()
			r := do("POST", entry.url("/post"), "pay")
			qt.Assert(t, time.Since(began) < endlessTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			if r.err == nil && r.status != http.StatusOK {
				qt.Assert(t, r.run, qt.Equals, "unknown")
			}
			select {
			case <-e.ended:
			case <-time.After(endlessTimeout):
				t.Fatal("the upstream's connection was not closed")
			}
			qt.Assert(t, e.written.Load() < endlessBytes, qt.IsTrue)
		})
	}
}

// TestEndlessBodyEndsWithTheCaller closes the caller's connection during an endless body: the upstream's connection
// must be closed as well.
func TestEndlessBodyEndsWithTheCaller(t *testing.T) {
	const readBytes = 4 << 20
	e := &endlessSender{head: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", ended: make(chan struct{})}
	entry, _, _ := pair(t, e.serve)
	callers, _ := entry.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(c, get("/get"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.CopyN(io.Discard, c, readBytes)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Close(), qt.IsNil)
	select {
	case <-e.ended:
	case <-time.After(endlessTimeout):
		t.Fatal("the upstream's connection was not closed")
	}
	qt.Assert(t, e.written.Load() < endlessBytes, qt.IsTrue)
}
