package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// secondResponses are responses to the call with the ID 1 that the upstream has already answered. They are cut at each byte.
var secondResponses = map[string]string{
	"date first":   "HTTP/1.1 200 OK\r\nDate: Mon\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello",
	"length first": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Seal: s\r\nX-Id: 1\r\n\r\nhello",
	"chunked":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Seal: s\r\nX-Id: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"interim":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
}

// stutterer is an upstream that answers the call with the ID 1 with success and any other with a failure. A connection that
// has answered the former also carries a part of a second response to it, and stays open.
type stutterer struct {
	second string
	// place is when the second response is sent: "at once", "while idle" or "before the next response".
	place string
}

const (
	placeAtOnce = "at once"
	placeIdle   = "while idle"
	placeLate   = "before the next response"
	// secondDelay lets a node read the first response before the second arrives, and idleTime is longer than it and than
	// the time for which a node does not reuse a connection.
	secondDelay = 3 * time.Millisecond
	idleTime    = 20 * time.Millisecond
)

func (s *stutterer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	input := bufio.NewReader(c)
	stuttering := false
	for {
		r, err := http.ReadRequest(input)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		if id != "1" {
			late := ""
			if stuttering && s.place == placeLate {
				late = s.second
			}
			_, _ = fmt.Fprintf(c, "%sHTTP/1.1 500 Failed\r\nX-Id: %s\r\nX-Seal: failed\r\nContent-Length: 6\r\n\r\nfailed", late, id)
			continue
		}
		stuttering = true
		first := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello"
		if s.place == placeAtOnce {
			first += s.second
		}
		_, _ = io.WriteString(c, first)
		if s.place == placeIdle {
			time.Sleep(secondDelay)
			_, _ = io.WriteString(c, s.second)
		}
	}
}

// publishOneConnection puts an upstream beside a node that takes one connection, which serve serves.
func publishOneConnection(t *testing.T, n *testNode, serve func(net.Conn)) {
	t.Helper()
	u := &upstreamServer{address: serveConnections(t, serve)}
	local := u.local("v1")
	local.Connections = 1
	n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: local, timeoutMs: 1000, attempts: 1})
}

// TestPartOfSecondResponseIsNoHeadOfTheNext sends a part of a second response to a call before the failure response to the
// next call on the connection: its caller must not get a success.
func TestPartOfSecondResponseIsNoHeadOfTheNext(t *testing.T) {
	for name, second := range secondResponses {
		for _, place := range []string{placeAtOnce, placeIdle, placeLate} {
			t.Run(name+"/"+place, func(t *testing.T) {
				t.Parallel()
				n := newNodeWith(t, "entry", sealedDialect())
				for i := 1; i < len(second); i++ {
					s := &stutterer{second: second[:i], place: place}
					publishOneConnection(t, n, s.serve)
					qt.Assert(t, do("GET", n.url("/get"), "", "X-Id", "1").status, qt.Equals, 200)
					time.Sleep(idleTime)
					r := do("GET", n.url("/get"), "", "X-Id", "2", "X-Time-Left", "300")
					qt.Check(t, r.err == nil && r.status < 300, qt.IsFalse, qt.Commentf("cut after %q: %+v", second[:i], r))
				}
			})
		}
	}
}
