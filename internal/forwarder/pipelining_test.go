package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeline sends requests on one connection without waiting for responses, and returns a reader of the responses.
func pipeline(t *testing.T, n *testNode, requests ...string) *bufio.Reader {
	t.Helper()
	callers, _ := n.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, strings.Join(requests, ""))
	qt.Assert(t, err, qt.IsNil)
	return bufio.NewReader(c)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// nextBody reads one response and returns its body.
func nextBody(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	qt.Assert(t, err, qt.IsNil)
	return string(body)
}

// TestPipelinedIdempotentCallsRunConcurrently pipelines four idempotent calls: together they take about as long as one.
func TestPipelinedIdempotentCallsRunConcurrently(t *testing.T) {
	const callDuration, calls = 200 * time.Millisecond, 4
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(callDuration)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	began := time.Now()
	var requests []string
	for i := range calls {
		requests = append(requests, get(fmt.Sprintf("/get/%d", i)))
	}
	r := pipeline(t, entry, requests...)
	for i := range calls {
		qt.Assert(t, nextBody(t, r), qt.Equals, fmt.Sprintf("/get/%d", i))
	}
	took := time.Since(began)
	qt.Assert(t, took < 2*callDuration, qt.IsTrue, qt.Commentf("took %v", took))
}

// TestLongPipelinedResponsesStayInOrder pipelines calls with responses longer than what is buffered, behind a slow
// call. All responses must arrive complete and in order.
func TestLongPipelinedResponsesStayInOrder(t *testing.T) {
	const long = 3 << 20
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/slow" {
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, "slow")
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", long))
	})
	r := pipeline(t, entry, get("/get/slow"), get("/get/long"), get("/get/long"))
	qt.Assert(t, nextBody(t, r), qt.Equals, "slow")
	for range 2 {
		qt.Assert(t, len(nextBody(t, r)), qt.Equals, long)
	}
}

// TestNonIdempotentCallIsNotStartedAhead pipelines a POST behind a GET: it must not start before the GET was answered.
func TestNonIdempotentCallIsNotStartedAhead(t *testing.T) {
	var answered, early atomic.Bool
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			early.Store(!answered.Load())
			return
		}
		time.Sleep(100 * time.Millisecond)
		answered.Store(true)
	})
	r := pipeline(t, entry, get("/get/a"), "POST /post/a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1")
	nextBody(t, r)
	nextBody(t, r)
	qt.Assert(t, early.Load(), qt.IsFalse)
}

// TestRequestAfterConnectionCloseIsNotRun pipelines a request behind one with "Connection: close".
func TestRequestAfterConnectionCloseIsNotRun(t *testing.T) {
	var runs atomic.Int32
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	r := pipeline(t, entry, "GET /get/last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", get("/get/behind"))
	qt.Assert(t, nextBody(t, r), qt.Equals, "/get/last")
	_, err := r.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, runs.Load(), qt.Equals, int32(1))
}

// TestTruncatedPipelinedResponseClosesConnection truncates the second response while the first is pending. The first
// must arrive complete, and then the connection must close. If the second was kept until it was next, none of it may be
// sent; if it was longer and its source was paused, it must end before its stated length.
func TestTruncatedPipelinedResponseClosesConnection(t *testing.T) {
	const stated = 1_000_000
	tests := []struct {
		name string
		sent int
		kept bool
	}{
		{"kept until it is next", 100_000, true},
		{"source paused", 400_000, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/get/slow" {
					time.Sleep(300 * time.Millisecond)
					_, _ = io.WriteString(w, "slow")
					return
				}
				c, _, _ := w.(http.Hijacker).Hijack()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", stated, strings.Repeat("x", test.sent))
				_ = c.Close()
			})
			r := pipeline(t, entry, get("/get/slow"), get("/get/cut"))
			qt.Assert(t, nextBody(t, r), qt.Equals, "slow")
			rest, _ := io.ReadAll(r)
			if test.kept {
				qt.Assert(t, len(rest), qt.Equals, 0)
				return
			}
			qt.Assert(t, len(rest) < stated, qt.IsTrue, qt.Commentf("%d bytes", len(rest)))
		})
	}
}
