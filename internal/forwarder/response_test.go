package forwarder_test

import (
	"bufio"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

func TestCallThroughTwoNodes(t *testing.T) {
	entry, _, u := pair(t, func(w http.ResponseWriter, r *http.Request) {
		// An upstream's copies of this system's own headers must not be forwarded.
		w.Header().Set("Tamarackpitch-Run", "no")
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL, body)
	})
	r := do("POST", entry.url("/post/7?x=1"), "hello")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.body, qt.Equals, "POST /post/7?x=1 hello")
	qt.Assert(t, r.run, qt.Equals, "")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
	r = do("HEAD", entry.url("/get"), "")
	qt.Assert(t, r.err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, 200)
}

// TestLongBodiesStream echoes a body that is far larger than any buffer.
func TestLongBodiesStream(t *testing.T) {
	const size = 24 << 20
	body := make([]byte, size)
	_, _ = rand.Read(body)
	for _, framing := range []string{"length", "chunked"} {
		t.Run(framing, func(t *testing.T) {
			entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
				// Without full duplex, net/http discards part of the request body once the response begins.
				_ = http.NewResponseController(w).EnableFullDuplex()
				if framing == "length" {
					w.Header().Set("Content-Length", r.Header.Get("X-Length"))
				}
				_, _ = io.Copy(w, r.Body)
			})
			var reader io.Reader = strings.NewReader(string(body))
			if framing == "chunked" {
				reader = io.MultiReader(reader)
			}
			request, _ := http.NewRequest("POST", entry.url("/post"), reader)
			request.Header.Set("X-Length", fmt.Sprint(size))
			response, err := http.DefaultClient.Do(request)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			hash := sha256.New()
			n, err := io.Copy(hash, response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, int64(size))
			qt.Assert(t, fmt.Sprintf("%x", hash.Sum(nil)), qt.Equals, fmt.Sprintf("%x", sha256.Sum256(body)))
		})
	}
}

func TestSlowReaderGetsCompleteResponse(t *testing.T) {
	const size = 4 << 20
	entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, size))
	})
	response, err := http.Get(entry.url("/get"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	total := 0
	buffer := make([]byte, 256<<10)
	for {
		n, err := response.Body.Read(buffer)
		total += n
		if err == io.EOF {
			break
		}
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(2 * time.Millisecond)
	}
	qt.Assert(t, total, qt.Equals, size)
}

// TestTruncatedBodyIsAnError closes the upstream's connection in the middle of a body: the caller must not take the
// response for complete.
func TestTruncatedBodyIsAnError(t *testing.T) {
	for _, header := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		t.Run(header, func(t *testing.T) {
			entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
				c, _, _ := w.(http.Hijacker).Hijack()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n5\r\nhello\r\n", header)
				_ = c.Close()
			})
			r := do("GET", entry.url("/get"), "")
			qt.Assert(t, r.err, qt.Not(qt.IsNil))
		})
	}
}

// TestPipelinedResponsesKeepTheirOrder pipelines requests of which the upstream answers the first one last.
func TestPipelinedResponsesKeepTheirOrder(t *testing.T) {
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/0" {
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	callers, _ := entry.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	const requests = 20
	for i := range requests {
		_, _ = fmt.Fprintf(c, "GET /get/%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
	}
	reader := bufio.NewReader(c)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, fmt.Sprintf("/get/%d", i))
	}
}

// TestSecondResponseIsDropped lets an upstream respond twice to a request: the second response must not reach the next
// call on the connection.
func TestSecondResponseIsDropped(t *testing.T) {
	entry, _, _ := pair(t, func(w http.ResponseWriter, r *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		defer func() { _ = c.Close() }()
		body := r.URL.Path
		for range 2 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		time.Sleep(50 * time.Millisecond)
	})
	for i := range 10 {
		path := fmt.Sprintf("/get/%d", i)
		r := do("GET", entry.url(path), "")
		qt.Assert(t, r.err, qt.IsNil)
		if r.run == "" {
			qt.Assert(t, r.body, qt.Equals, path)
		}
	}
}

func TestMalformedRequests(t *testing.T) {
	entry, _, u := pair(t, respondWith("ok"))
	callers, _ := entry.Addresses()
	tests := []struct{ name, text, want string }{
		{"length and encoding", "POST /post HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"two lengths", "POST /post HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		{"size of a chunk", "POST /post HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3 4\r\nabc\r\n0\r\n\r\n", "400"},
		{"trailer", "POST /post HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n", "400"},
		{"bad length", "POST /post HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"},
		{"bad method", "G@T /get HTTP/1.1\r\n\r\n", "400"},
		{"bad protocol", "GET /get HTTP/9.9\r\n\r\n", "400"},
		{"many headers", "GET /get HTTP/1.1\r\n" + strings.Repeat("X-Y: z\r\n", 200) + "\r\n", "431"},
		{"long header", "GET /get HTTP/1.1\r\nX: " + strings.Repeat("y", 300<<10) + "\r\n\r\n", "431"},
		{"path traversal", "GET /get/../secret HTTP/1.1\r\nHost: x\r\n\r\n", "400"},
		{"upgrade", "GET /get HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\r\n", "501"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := net.Dial("tcp", callers)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, test.text)
			line, err := bufio.NewReader(c).ReadString('\n')
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, line, qt.Contains, " "+test.want+" ")
		})
	}
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(0))
}

// TestIncompleteHeaderTimesOut checks that a connection whose request head stays incomplete is closed.
func TestIncompleteHeaderTimesOut(t *testing.T) {
	entry, _, _ := pair(t, respondWith("ok"))
	callers, _ := entry.Addresses()
	c, err := net.Dial("tcp", callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /get HTTP/1.1\r\nX-Slow: ")
	_, err = io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
}

// TestDrainCompletesResponses drains an entry node while a response is being sent: the response must be completed, and
// new connections refused.
func TestDrainCompletesResponses(t *testing.T) {
	release := make(chan struct{})
	entry, _, _ := pair(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		<-release
		_, _ = io.WriteString(w, "second")
	})
	response, err := http.Get(entry.url("/get"))
	qt.Assert(t, err, qt.IsNil)
	drained := make(chan bool)
	go func() { drained <- entry.Drain(time.Minute) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "first second")
	qt.Assert(t, <-drained, qt.IsTrue)
	qt.Assert(t, do("GET", entry.url("/get"), "").err, qt.Not(qt.IsNil))
}

// TestPriorityUnderLoad fills the queue with calls of the low class: a further one is refused, and one of the high
// class evicts a queued one.
func TestPriorityUnderLoad(t *testing.T) {
	release := make(chan struct{})
	sidecar := newNode(t, "sidecar")
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	local := u.local("v1")
	local.Slots = 1
	sidecar.publish(snapshotConfig{endpoints: []*balancer.Endpoint{sidecar.endpoint("v1")}, local: local,
		preset: &schema.Preset{Classes: []string{"high", "low"}, QueueLength: 2}})
	replies := make(chan reply, 8)
	for i := range 3 {
		go func() { replies <- do("GET", sidecar.url("/get"), "") }()
		eventually(t, "the call has entered", func() bool { return sidecar.Stats().Entered.Load() == uint64(i+1) })
	}
	refused := do("GET", sidecar.url("/get"), "")
	qt.Assert(t, refused.run, qt.Equals, "no")
	qt.Assert(t, refused.refusal, qt.Equals, "queue-full")
	go func() { replies <- do("GET", sidecar.url("/high"), "") }()
	evicted := <-replies
	qt.Assert(t, evicted.run, qt.Equals, "no")
	close(release)
	var bodies []string
	for range 3 {
		r := <-replies
		qt.Assert(t, r.err, qt.IsNil)
		bodies = append(bodies, r.body)
	}
	qt.Assert(t, bodies, qt.Contains, "/high")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(3))
}
