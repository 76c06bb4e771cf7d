package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBodyAfterCallerDisconnectsIsDiscarded passes on the rest of a body that was read before the call was aborted and
// its caller cleared. It must be discarded without using the caller.
func TestBodyAfterCallerDisconnectsIsDiscarded(t *testing.T) {
	x := &exchange{ended: true, request: request{message: &message{length: -1}}}
	s := &serverConn{reading: x}
	qt.Assert(t, s.onBody([]byte("rest")), qt.IsNil)
	qt.Assert(t, x.bodyBytes, qt.Equals, int64(0))
	qt.Assert(t, s.discarded, qt.Equals, int64(4))
}
