package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLongResponseThroughSmallWindow reads a long response slowly through a small receive window. The node's output is
// sent in many small writes, and no input event occurs in between that could wake a stalled connection.
func TestLongResponseThroughSmallWindow(t *testing.T) {
	const bodyBytes = 2 << 20
	entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
	})
	callers, _ := entry.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	qt.Assert(t, c.(*net.TCPConn).SetReadBuffer(128<<10), qt.IsNil)
	_, err = fmt.Fprintf(c, "GET /get HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	total := 0
	piece := make([]byte, 8<<10)
	for {
		n, err := c.Read(piece)
		total += n
		if err == io.EOF {
			break
		}
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(200 * time.Microsecond)
	}
	qt.Assert(t, total > bodyBytes, qt.IsTrue)
}
