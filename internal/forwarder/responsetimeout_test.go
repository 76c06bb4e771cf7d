package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestResponseEndsAtTimeout lets an upstream fall silent in the middle of a response that is already being sent to the
// caller, or send it without end: the caller must get an incomplete response soon after the route's timeout.
func TestResponseEndsAtTimeout(t *testing.T) {
	const timeoutMs, bound = 600, 1100 * time.Millisecond
	tests := []struct {
		name     string
		framing  string
		interval time.Duration
	}{
		{"silent with a length", "Content-Length: 540000", 0},
		{"silent in chunks", "Transfer-Encoding: chunked", 0},
		{"endless in chunks", "Transfer-Encoding: chunked", 20 * time.Millisecond},
		{"endless without a length", "Cache-Control: no-store", 20 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan struct{})
			entry := sealedMesh(t, timeoutMs, func(w http.ResponseWriter, r *http.Request) {
				c := hijack(w)
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%s\r\n\r\n", r.Header.Get("X-Id"), test.framing)
				// More than a response that is buffered; in chunks of 1000 bytes where that is the framing.
				piece := fmt.Sprintf("%01000d", 0)
				if test.framing == "Transfer-Encoding: chunked" {
					piece = "3e8\r\n" + piece + "\r\n"
				}
				for range 300 {
					_, _ = io.WriteString(c, piece)
				}
				for test.interval > 0 {
					if _, err := io.WriteString(c, piece); err != nil {
						return
					}
					time.Sleep(test.interval)
				}
				<-release
			})
			defer close(release)
			began := time.Now()
			r := do("GET", entry.url("/get"), "", "X-Id", "1")
			took := time.Since(began)
			qt.Assert(t, r.err, qt.IsNotNil, qt.Commentf("%d bytes", len(r.body)))
			qt.Assert(t, took < bound, qt.IsTrue, qt.Commentf("took %v", took))
		})
	}
}
