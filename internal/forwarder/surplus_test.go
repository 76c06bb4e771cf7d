package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// sealedHead is the beginning of a sealed response to the call with the ID 1.
const sealedHead = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\n"

// TestSurplusBytesLeaveTheResponseValid lets an upstream send further bytes with the end of a complete response: they belong
// to no call, so that the caller gets the response, and the connection is closed.
func TestSurplusBytesLeaveTheResponseValid(t *testing.T) {
	responses := map[string]struct{ response, body string }{
		"length":           {sealedHead + "Content-Length: 4\r\n\r\npaid", "paid"},
		"chunked":          {sealedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n", "paid"},
		"closed after it":  {sealedHead + "Connection: close\r\nContent-Length: 4\r\n\r\npaid", "paid"},
		"without a body":   {"HTTP/1.1 204 No Content\r\nX-Seal: s\r\nX-Id: 1\r\n\r\n", ""},
		"first byte of it": {sealedHead + "Content-Length: 4\r\n\r\nPAIH", "PAIH"},
	}
	for name, test := range responses {
		for surplusName, surplus := range map[string]string{"line end": "\r\n", "other": "\x00surplus", "text": "surplus"} {
			t.Run(name+"/"+surplusName, func(t *testing.T) {
				var connections atomic.Int32
				n := newNodeWith(t, "entry", sealedDialect())
				u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
					connections.Add(1)
					c := hijack(w)
					_, _ = io.WriteString(c, test.response+surplus)
					awaitClose(c)
				})
				n.publish(snapshotConfig{endpoints: n.endpoints("v1"), local: u.local("v1"), timeoutMs: 1000})
				for call := range int32(2) {
					r := do("POST", n.url("/post"), "pay", "X-Id", "1")
					qt.Assert(t, r.err, qt.IsNil)
					qt.Assert(t, r.status < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%+v", r))
					qt.Assert(t, r.body, qt.Equals, test.body)
					qt.Assert(t, connections.Load(), qt.Equals, call+1)
				}
			})
		}
	}
}

// awaitClose waits until the peer closes a connection, and closes it.
func awaitClose(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}
