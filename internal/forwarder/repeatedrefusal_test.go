package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// refusalRepeater is an upstream that refuses calls to /post/refused and runs all others. Before the response to a call
// that it runs, it sends the refusal of an earlier call on the connection once more.
type refusalRepeater struct {
	// refusal is the refusal, with the ID of the refused call in place of %s, if it has one.
	refusal string

	mu sync.Mutex
	// runs counts the runs by call ID, repeated the refusals sent once more.
	runs     map[string]int
	repeated int
}

func (u *refusalRepeater) serve(c net.Conn) {
	earlier := ""
	for r := range requestsOn(c) {
		id := r.Header.Get("X-Id")
		if strings.HasPrefix(r.URL.Path, "/post/refused") {
			earlier = strings.ReplaceAll(u.refusal, "%s", id)
			_, _ = io.WriteString(c, earlier)
			continue
		}
		u.recordRun(id, earlier != "")
		_, _ = io.WriteString(c, earlier)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\npaid", id)
		earlier = ""
	}
}

func (u *refusalRepeater) recordRun(id string, repeats bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
	if repeats {
		u.repeated++
	}
}

// TestRepeatedRefusalIsNotTakenForAnother lets upstreams send an earlier refusal once more on a kept connection: the call
// that is running must not be reported as not run, and no second upstream may run it.
func TestRepeatedRefusalIsNotTakenForAnother(t *testing.T) {
	tests := []struct{ name, refusal string }{
		{"with the earlier id", "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"without an id", "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"with a body", "HTTP/1.1 429 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"},
		{"in chunks", "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"},
		{"of another incarnation", "HTTP/1.1 421 X\r\nX-Instance: other\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := &refusalRepeater{refusal: test.refusal, runs: map[string]int{}}
			entry := newNodeWith(t, "entry", sealedDialect())
			var endpoints []*balancer.Endpoint
			for _, name := range []string{"sidecar-0", "sidecar-1"} {
				n := newNodeWith(t, name, sealedDialect())
				endpoints = append(endpoints, n.endpoint("v1"))
				local := &router.Local{Service: "s", Version: "v1", Address: serveConnections(t, u.serve), Slots: 1, Connections: 1}
				n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: local})
			}
			entry.publish(snapshotConfig{endpoints: endpoints})
			for i := range 10 {
				id := fmt.Sprint(i)
				do("POST", entry.url("/post/refused"), "pay", "X-Id", "refused-"+id)
				// The upstream's connection is reused only after a delay.
				time.Sleep(20 * time.Millisecond)
				r := do("POST", entry.url("/post"), "pay", "X-Id", id)
				u.mu.Lock()
				runs := u.runs[id]
				u.mu.Unlock()
				qt.Assert(t, runs <= 1, qt.IsTrue, qt.Commentf("call %s ran %d times", id, runs))
				if r.run == "no" || r.status == http.StatusServiceUnavailable {
					qt.Assert(t, runs, qt.Equals, 0, qt.Commentf("call %s: %+v", id, r))
				}
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			qt.Assert(t, u.repeated > 0, qt.IsTrue)
		})
	}
}
