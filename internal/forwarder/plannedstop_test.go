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

// TestDrainedNodeTakesCalls opens connections and sends calls on them at the moment at which an idle node drains. Once Drain
// has reported that nothing is left, the process exits, so that no call may run or start to run.
func TestDrainedNodeTakesCalls(t *testing.T) {
	const rounds, callers, spread, work = 20, 8, 2 * time.Millisecond, 100 * time.Millisecond
	// The calls' timeout is long, so that none expires on a busy machine, and fits into the drain.
	const timeoutMs, drainTimeout = 5000, 10 * time.Second
	for round := range rounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			n := newNode(t, "entry")
			n.common.Settings.DrainTimeout = drainTimeout
			var ended atomic.Int64
			u := newUpstream(t, func(http.ResponseWriter, *http.Request) {
				time.Sleep(work)
				ended.Add(1)
			})
			n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1"), timeoutMs: timeoutMs, leaving: true})
			var calls sync.WaitGroup
			for i := range callers {
				calls.Go(func() {
					time.Sleep(time.Duration(i) * spread / callers)
					_ = do("POST", n.url("/post"), "pay")
				})
			}
			time.Sleep(time.Duration(round%10) * spread / 10)
			qt.Assert(t, n.Drain(drainTimeout), qt.IsTrue)
			endedByDrain := ended.Load()
			calls.Wait()
			qt.Assert(t, u.runs.Load(), qt.Equals, endedByDrain, qt.Commentf("calls ran at the end of the drain or after it"))
		})
	}
}
