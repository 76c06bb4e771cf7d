package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

const (
	slowMbps       = 8
	longBytes      = 90 << 10
	longCalls      = 8
	bytesPerSecond = slowMbps * 1e6 / 8
)

// slowLink relays connections to an address. All data from there passes one simulated link of slowMbps, first in first
// out.
type slowLink struct {
	target   string
	segments chan segment
}

type segment struct {
	to   net.Conn
	data []byte
}

func newSlowLink(t *testing.T, target string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	link := &slowLink{target: target, segments: make(chan segment, 1<<16)}
	go link.forward()
	go link.accept(l)
	return l.Addr().String()
}

func (l *slowLink) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		u, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		go func() { _, _ = io.Copy(u, c); _ = u.Close() }()
		go l.read(u, c)
	}
}

func (l *slowLink) read(from, to net.Conn) {
	for {
		b := make([]byte, 1400)
		n, err := from.Read(b)
		if err != nil {
			return
		}
		l.segments <- segment{to: to, data: b[:n]}
	}
}

// forward writes the segments at the link's rate.
func (l *slowLink) forward() {
	freeAt := time.Now()
	for p := range l.segments {
		if now := time.Now(); freeAt.Before(now) {
			freeAt = now
		}
		freeAt = freeAt.Add(time.Duration(float64(len(p.data)) / bytesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(freeAt))
		_, _ = p.to.Write(p.data)
	}
}

// TestShortResponsesOvertakeLongOnesOnSlowLink makes a short call while eight responses of 90 KB share a slow link. If
// the node knows the link's bandwidth, the short response overtakes them; otherwise it waits behind all of them.
func TestShortResponsesOvertakeLongOnesOnSlowLink(t *testing.T) {
	tests := []struct {
		name    string
		mbps    float64
		maxTime time.Duration
	}{
		{"known bandwidth", slowMbps, 200 * time.Millisecond},
		{"unknown", 0, 5 * time.Second},
	}
	took := map[string]time.Duration{}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entry := newNode(t, "entry")
			sidecar := newNodeWithLink(t, "sidecar", test.mbps)
			u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/get/long") {
					w.Header().Set("Content-Length", "92160")
					_, _ = io.WriteString(w, strings.Repeat("x", longBytes))
					return
				}
				_, _ = io.WriteString(w, "short")
			})
			_, peers := sidecar.Addresses()
			endpoints := []*balancer.Endpoint{endpoint("sidecar", "v1", newSlowLink(t, peers))}
			endpoints[0].Slots = 2 * longCalls
			local := u.local("v1")
			local.Slots = 2 * longCalls
			entry.publish(snapshotConfig{endpoints: endpoints})
			sidecar.publish(snapshotConfig{endpoints: endpoints, local: local})
			var calls sync.WaitGroup
			for range longCalls {
				calls.Go(func() {
					r := do("GET", entry.url("/get/long"), "")
					if len(r.body) != longBytes {
						t.Errorf("status %d with %d bytes", r.status, len(r.body))
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			r := do("GET", entry.url("/high/short"), "")
			took[test.name] = time.Since(began)
			qt.Assert(t, r.body, qt.Equals, "short")
			qt.Assert(t, took[test.name] < test.maxTime, qt.IsTrue, qt.Commentf("took %v", took[test.name]))
			calls.Wait()
		})
	}
	qt.Assert(t, took["unknown"] > 2*took["known bandwidth"], qt.IsTrue, qt.Commentf("%v", took))
}
