package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// fullBacklogAddress returns an address at which connections are neither accepted nor refused, because the accept
// backlog is full.
func fullBacklogAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	qt.Assert(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(t, syscall.Listen(fd, 0), qt.IsNil)
	name, err := syscall.Getsockname(fd)
	qt.Assert(t, err, qt.IsNil)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 2 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// TestUnsentCallIsRefusedAsNotRun lets a non-idempotent call reach its deadline while no connection can be opened. The
// status must say that the call has not run, so that the caller may retry it.
func TestUnsentCallIsRefusedAsNotRun(t *testing.T) {
	entry := newNode(t, "entry")
	entry.publish(snapshotConfig{endpoints: []*balancer.Endpoint{endpoint("peer", "v1", fullBacklogAddress(t))}, timeoutMs: 150})
	r := do("POST", entry.url("/post"), "pay")
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.run, qt.Equals, "no")
}
