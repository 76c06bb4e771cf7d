package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// forgetfulUpstream states a keep-alive timeout of one second in its responses, and aborts a connection on which a
// request arrives after it.
func forgetfulUpstream(t *testing.T) (address string) {
	t.Helper()
	return serveConnections(t, serveForgetfully)
}

func serveForgetfully(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for respondedAt := time.Now(); ; respondedAt = time.Now() {
		request, err := http.ReadRequest(reader)
		if err != nil || time.Since(respondedAt) > time.Second {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestConnectionIsReusedAfterItsKeepAliveTimeout sends a call that must not be repeated after the connection has been
// idle for longer than the upstream keeps it.
func TestConnectionIsReusedAfterItsKeepAliveTimeout(t *testing.T) {
	n := newNode(t, "n")
	local := &router.Local{Service: "s", Version: "v1", Address: forgetfulUpstream(t), Slots: 1, Connections: 4}
	n.publish(snapshotConfig{endpoints: []*balancer.Endpoint{n.endpoint("v1")}, local: local})
	qt.Assert(t, do("POST", n.url("/post"), "pay").body, qt.Equals, "ok")
	time.Sleep(1100 * time.Millisecond)
	r := do("POST", n.url("/post"), "pay")
	qt.Assert(t, r.body, qt.Equals, "ok", qt.Commentf("status %d, refusal %s", r.status, r.refusal))
}
