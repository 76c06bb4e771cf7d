package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestInvalidRequestsAreNotForwarded sends invalid and oversized request heads on raw connections. They must be refused
// without reaching an upstream.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	const long = 70 << 10
	tests := []struct {
		name string
		head string
		want int
	}{
		{"no host", "GET /get HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"two hosts", "GET /get HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", http.StatusBadRequest},
		{"a zero byte in a value", "GET /get HTTP/1.1\r\nHost: a\r\nX-Odd: a\x00b\r\n\r\n", http.StatusBadRequest},
		{"a head of 70 KB", "GET /get HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", long) + "\r\n\r\n",
			http.StatusRequestHeaderFieldsTooLarge},
		{"a head of 70 KB in many lines", "GET /get HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Long: "+strings.Repeat("x", 1<<10)+"\r\n", 70) +
			"\r\n",
			http.StatusRequestHeaderFieldsTooLarge},
		{"both a length and chunks", "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entry, _, u := pair(t, respondWith("reached"))
			callers, _ := entry.Addresses()
			c, err := net.Dial("tcp", callers)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = c.Close() }()
			qt.Assert(t, c.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, _ = io.WriteString(c, test.head)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			qt.Assert(t, response.StatusCode, qt.Equals, test.want)
			qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
		})
	}
}

// TestNodeHeadersCannotBeForged sends a call through two nodes with headers that only nodes may set. The upstream must
// get the nodes' values of those, and the caller's ID, target and other headers unchanged.
func TestNodeHeadersCannotBeForged(t *testing.T) {
	d := sealedDialect()
	entry, sidecar := newNodeWith(t, "entry", d), newNodeWith(t, "sidecar", d)
	got := make(chan *http.Request, 1)
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Seal", "s")
		_, _ = io.WriteString(w, "done")
	})
	local := u.local("v1")
	local.Instance = "i-1"
	entry.publish(snapshotConfig{endpoints: sidecar.endpoints("v1")})
	sidecar.publish(snapshotConfig{endpoints: sidecar.endpoints("v1"), local: local})
	r := do("GET", entry.url("/get/a?b=c"), "", "X-Id", "7", "X-Caller", "forged",
		"X-Instance", "forged", "X-Time-Left", "900", "X-Other", "kept")
	qt.Assert(t, r.body, qt.Equals, "done")
	request := <-got
	qt.Assert(t, request.Header.Values("X-Caller"), qt.DeepEquals, []string{"service-of-entry"})
	qt.Assert(t, request.Header.Values("X-Instance"), qt.DeepEquals, []string{"i-1"})
	qt.Assert(t, request.Header.Get("X-Id"), qt.Equals, "7")
	qt.Assert(t, request.Header.Get("X-Other"), qt.Equals, "kept")
	qt.Assert(t, request.RequestURI, qt.Equals, "/get/a?b=c")
	left, err := time.ParseDuration(request.Header.Get("X-Time-Left") + "ms")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, left > 0 && left <= 900*time.Millisecond, qt.IsTrue)
}
