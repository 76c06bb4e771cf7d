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

// http10Request makes an HTTP/1.0 call on a raw connection and reads until the connection ends. The response to such a
// call may end with the connection, so only a reset shows that it is incomplete.
func http10Request(t *testing.T, n *testNode) (response string, err error) {
	t.Helper()
	callers, _ := n.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /get HTTP/1.0\r\nHost: x\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	data, err := io.ReadAll(c)
	return string(data), err
}

// TestTruncatedResponseResetsHTTP10Caller ends a chunked response early: without chunks of its own, the caller's
// response would look complete if its connection were closed normally.
func TestTruncatedResponseResetsHTTP10Caller(t *testing.T) {
	entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		c := hijack(w)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		_ = c.Close()
	})
	response, err := http10Request(t, entry)
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", response))
}

// TestCompleteResponseReachesHTTP10Caller streams a long response without a length: the caller gets all of it.
func TestCompleteResponseReachesHTTP10Caller(t *testing.T) {
	const size = 4 << 20
	entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	response, err := http10Request(t, entry)
	qt.Assert(t, err, qt.IsNil)
	_, body, _ := strings.Cut(response, "\r\n\r\n")
	qt.Assert(t, len(body), qt.Equals, size)
}
