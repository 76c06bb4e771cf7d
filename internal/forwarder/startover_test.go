package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// startOverPause is the time between a truncated response and the whole one that follows it.
const startOverPause = 2 * time.Millisecond

// TestResponseThatStartsOverIsWhole lets an upstream begin a response, stop at each byte, and send the whole response behind
// that part: a caller that gets a success must get the whole body.
func TestResponseThatStartsOverIsWhole(t *testing.T) {
	body := strings.Repeat("line of the body\r\n", 20)
	responses := map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}
	for name, response := range responses {
		for _, pause := range []time.Duration{0, startOverPause} {
			t.Run(fmt.Sprintf("%s/%v", name, pause), func(t *testing.T) {
				t.Parallel()
				cut := ""
				entry := sealedMesh(t, 20_000, func(w http.ResponseWriter, _ *http.Request) {
					c := hijack(w)
					defer func() { _ = c.Close() }()
					if pause == 0 {
						_, _ = io.WriteString(c, cut+response)
						return
					}
					_, _ = io.WriteString(c, cut)
					time.Sleep(pause)
					_, _ = io.WriteString(c, response)
				})
				for i := range len(response) {
					cut = response[:i]
					r := do("GET", entry.url("/get"), "", "X-Id", "1")
					qt.Check(t, r.err == nil && r.status < 300 && r.body != body, qt.IsFalse, qt.Commentf("cut after %q: %+v", cut, r))
				}
			})
		}
	}
}

// startOverAt returns a handler that sends a response without its last bytes, then the whole response from its beginning, in
// pieces such that the first ends where the length of the former is reached.
func startOverAt(body string, missing int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(body), body)
		c := hijack(w)
		for _, piece := range []string{response[:len(response)-missing], response[:missing], response[missing:]} {
			_, _ = io.WriteString(c, piece)
			time.Sleep(startOverPause)
		}
		_ = c.Close()
	}
}

// TestClaimedResponseThatStartsOver loses the connection between two nodes while the response to a non-idempotent call is on
// its way. The response starts over, so that the claim of the call must not get it as a whole one.
func TestClaimedResponseThatStartsOver(t *testing.T) {
	body := strings.Repeat("line of the body\r\n", 20)
	entry, sidecar := newNodeWith(t, "entry", sealedDialect()), newNodeWith(t, "sidecar", sealedDialect())
	u := newUpstream(t, startOverAt(body, len(body)/2))
	sidecar.publish(snapshotConfig{endpoints: sidecar.endpoints("v1"), local: u.local("v1")})
	_, peers := sidecar.Addresses()
	lossy := endpoint("sidecar", "v1", newLossyLink(t, peers))
	entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{lossy}})
	r := do("POST", entry.url("/post"), "pay", "X-Id", "call-1")
	qt.Assert(t, entry.Stats().Claims.Load(), qt.Equals, uint64(1))
	qt.Assert(t, r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%+v", r))
	qt.Assert(t, r.run, qt.Equals, "unknown")
	qt.Assert(t, u.runs.Load(), qt.Equals, int64(1))
}

// newLossyLink returns an address whose connections lead to a target. The first is closed with the first bytes in response.
func newLossyLink(t *testing.T, target string) (address string) {
	var count atomic.Int32
	return serveConnections(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		lossy := count.Add(1) == 1
		to, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = to.Close() }()
		go func() { _, _ = io.Copy(to, c) }()
		if lossy {
			_, _ = to.Read(make([]byte, 1))
			// The node beside the upstream gets the time to read the whole response.
			time.Sleep(10 * startOverPause)
			return
		}
		_, _ = io.Copy(c, to)
	})
}

// TestStreamedResponseThatStartsOver lets a response that is too long to be buffered start over near its end: it must not look
// complete.
func TestStreamedResponseThatStartsOver(t *testing.T) {
	body := strings.Repeat("line of the body\r\n", 20_000)
	entry := sealedMesh(t, 20_000, startOverAt(body, 200))
	r := do("GET", entry.url("/get"), "", "X-Id", "call-1")
	qt.Assert(t, r.err == nil && r.status < 300, qt.IsFalse, qt.Commentf("status %d, %d bytes", r.status, len(r.body)))
}
