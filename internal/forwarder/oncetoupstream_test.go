package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silentUpstream does not answer the call with the ID silentID that reaches it first of all upstreams, until the test
// ends. It answers all others.
type silentUpstream struct {
	runs    atomic.Int32
	silence *sync.Once
	ended   chan struct{}
}

const silentID = "silent"

func (u *silentUpstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Id") == silentID {
		u.runs.Add(1)
		silent := false
		u.silence.Do(func() { silent = true })
		if silent {
			<-u.ended
			return
		}
	}
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Seal", "s")
	_, _ = io.WriteString(w, "done")
}

// TestSilentCallGoesToAnotherUpstream lets an upstream leave a call on a reused connection unanswered while it answers
// others. The call is sent to the other upstream, and not to the same one again: that may still run it.
func TestSilentCallGoesToAnotherUpstream(t *testing.T) {
	const otherCalls, otherInterval = 60, 10 * time.Millisecond
	var silence sync.Once
	ended := make(chan struct{})
	upstreams := [2]silentUpstream{{silence: &silence, ended: ended}, {silence: &silence, ended: ended}}
	entry := sealedMesh(t, 5000, upstreams[0].serve, upstreams[1].serve)
	t.Cleanup(func() { close(ended) })
	for i := range otherCalls {
		qt.Assert(t, do("GET", entry.url("/get"), "", "X-Id", fmt.Sprintf("warm-%d", i)).status, qt.Equals, 200)
	}
	// The upstreams' connections may be reused then.
	time.Sleep(idleTime)
	answered := make(chan reply)
	go func() { answered <- do("GET", entry.url("/get"), "", "X-Id", silentID, "X-Time-Left", "2000") }()
	for i := range otherCalls {
		time.Sleep(otherInterval)
		do("GET", entry.url("/get"), "", "X-Id", fmt.Sprintf("other-%d", i))
	}
	r := <-answered
	qt.Assert(t, r.status, qt.Equals, 200, qt.Commentf("%+v", r))
	for i := range upstreams {
		qt.Assert(t, upstreams[i].runs.Load(), qt.Equals, int32(1), qt.Commentf("upstream %d", i))
	}
}
