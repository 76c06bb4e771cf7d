package forwarder_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConnectionLimitAfterResponsesWithoutLength lets an upstream end some responses by closing their connections: the limit of
// connections to the upstream must still hold.
func TestConnectionLimitAfterResponsesWithoutLength(t *testing.T) {
	const limit, closings, calls = 2, 5, 6
	var open, most atomic.Int32
	n := newNodeWith(t, "entry", sealedDialect())
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		c := hijack(w)
		defer func() { _ = c.Close() }()
		raise(&most, open.Add(1))
		defer open.Add(-1)
		if r.URL.Path == "/get/slow" {
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: %s\r\n\r\ndone", r.Header.Get("X-Id"))
	})
	local := u.local("v1")
	local.Slots, local.Connections = calls, limit
	n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: local})
	for range closings {
		r := do("GET", n.url("/get"), "", "X-Id", "1")
		qt.Assert(t, r.body, qt.Equals, "done", qt.Commentf("%+v", r))
	}
	var wait sync.WaitGroup
	for range calls {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := do("GET", n.url("/get/slow"), "", "X-Id", "2")
			qt.Check(t, r.body, qt.Equals, "done", qt.Commentf("%+v", r))
		}()
	}
	wait.Wait()
	qt.Assert(t, most.Load() <= limit, qt.IsTrue, qt.Commentf("%d connections at once", most.Load()))
}

// raise sets a maximum to a value if that is greater.
func raise(maximum *atomic.Int32, value int32) {
	for old := maximum.Load(); old < value && !maximum.CompareAndSwap(old, value); old = maximum.Load() {
	}
}
