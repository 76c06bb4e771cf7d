package forwarder_test

import (
	"bytes"
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
	shortBody      = "the short response"
	// maxShortWait bounds how long the short response takes in the link, apart from delays of this process. A node leaves
	// up to 30 ms of data and one part of 16 KB there.
	maxShortWait = 70 * time.Millisecond
)

// slowLink relays connections to an address. All data from there passes one simulated link of slowMbps, first in first
// out. Data leaves when a link that transmits without a pause would have sent it, or later if this process is delayed:
// delays do not reduce the link's rate.
type slowLink struct {
	target   string
	segments chan segment
	// short receives the transit of the segment with shortBody.
	short chan transit
}

// transit tells how long a segment takes in the link.
type transit struct {
	// wait is the time that the link needs for what is queued before the segment and for the segment.
	wait time.Duration
	// late is the longest time by which an earlier segment left too late, since this process was delayed. Segments may
	// have been read as late, and then count as queued for longer than they were.
	late time.Duration
}

type segment struct {
	to   net.Conn
	data []byte
	// arrivedAt is when the segment reached the link's queue.
	arrivedAt time.Time
}

func newSlowLink(t *testing.T, target string) (link *slowLink, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	link = &slowLink{target: target, segments: make(chan segment, 1<<16), short: make(chan transit, 1)}
	go link.forward()
	go link.accept(l)
	return link, l.Addr().String()
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
		l.segments <- segment{to: to, data: b[:n], arrivedAt: time.Now()}
	}
}

// forward writes the segments at the link's rate.
func (l *slowLink) forward() {
	var freeAt time.Time
	var late time.Duration
	for p := range l.segments {
		if freeAt.Before(p.arrivedAt) {
			freeAt = p.arrivedAt
		}
		freeAt = freeAt.Add(time.Duration(float64(len(p.data)) / bytesPerSecond * float64(time.Second)))
		if bytes.Contains(p.data, []byte(shortBody)) {
			l.short <- transit{wait: freeAt.Sub(p.arrivedAt), late: late}
		}
		time.Sleep(time.Until(freeAt))
		late = max(late, time.Since(freeAt))
		_, _ = p.to.Write(p.data)
	}
}

// TestShortResponsesOvertakeLongOnesOnSlowLink makes a short call while eight responses of 90 KB share a slow link. If
// the node knows the link's bandwidth, the short response overtakes them; otherwise it waits behind all of them.
func TestShortResponsesOvertakeLongOnesOnSlowLink(t *testing.T) {
	tests := []struct {
		name             string
		mbps             float64
		maxTime, maxWait time.Duration
	}{
		{"known bandwidth", slowMbps, 200 * time.Millisecond, maxShortWait},
		{"unknown", 0, 5 * time.Second, 5 * time.Second},
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
				_, _ = io.WriteString(w, shortBody)
			})
			_, peers := sidecar.Addresses()
			link, address := newSlowLink(t, peers)
			endpoints := []*balancer.Endpoint{endpoint("sidecar", "v1", address)}
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
			// The calls must end before the subtest does, also if that fails: they report errors to it.
			defer calls.Wait()
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			r := do("GET", entry.url("/high/short"), "")
			took[test.name] = time.Since(began)
			qt.Assert(t, r.body, qt.Equals, shortBody)
			short := <-link.short
			qt.Assert(t, short.wait < test.maxWait+short.late, qt.IsTrue, qt.Commentf("in the link: %+v", short))
			qt.Assert(t, took[test.name] < test.maxTime, qt.IsTrue, qt.Commentf("took %v", took[test.name]))
		})
	}
	qt.Assert(t, took["unknown"] > 2*took["known bandwidth"], qt.IsTrue, qt.Commentf("%v", took))
}
