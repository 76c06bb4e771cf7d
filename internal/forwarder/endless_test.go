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
	// endlessBound is the time within which a connection with bytes that are no answer ends.
	endlessBound = 3 * time.Second
	// endlessBytes bounds what an upstream gets rid of until then, what the kernel holds included.
	endlessBytes = 64 << 20
)

// endless writes a head, then a piece again and again until the connection ends. It counts the bytes.
type endless struct {
	head, piece string
	written     atomic.Int64
	ended       chan struct{}
}

func (e *endless) serve(w http.ResponseWriter, _ *http.Request) {
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

// TestEndlessBytesAreNoAnswer lets an upstream send bytes without end that are no answer: the connection ends, the
// caller is told, and that the payment may have run is not denied.
func TestEndlessBytesAreNoAnswer(t *testing.T) {
	tests := []struct{ name, head, piece string }{
		{"noise", "", "\x00\x01noise"},
		{"a head line without end", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header lines without end", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		{"interim answers without end", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a chunk's length without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &endless{head: test.head, piece: test.piece, ended: make(chan struct{})}
			entry, _, _ := pair(t, e.serve)
			began := time.Now()
			r := do("POST", entry.url("/post"), "pay")
			qt.Assert(t, time.Since(began) < endlessBound, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			if r.err == nil && r.status != http.StatusOK {
				qt.Assert(t, r.run, qt.Equals, "unknown")
			}
			select {
			case <-e.ended:
			case <-time.After(endlessBound):
				t.Fatal("the upstream's connection has not ended")
			}
			qt.Assert(t, e.written.Load() < endlessBytes, qt.IsTrue)
		})
	}
}

// TestEndlessBodyEndsWithTheCaller lets a body go on until the caller closes: the upstream's connection ends then.
func TestEndlessBodyEndsWithTheCaller(t *testing.T) {
	const enough = 4 << 20
	e := &endless{head: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", ended: make(chan struct{})}
	entry, _, _ := pair(t, e.serve)
	callers, _ := entry.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(c, get("/get"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.CopyN(io.Discard, c, enough)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Close(), qt.IsNil)
	select {
	case <-e.ended:
	case <-time.After(endlessBound):
		t.Fatal("the upstream's connection has not ended")
	}
	qt.Assert(t, e.written.Load() < endlessBytes, qt.IsTrue)
}
