package gossiper

import (
	"bytes"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// bufferConn is a connection with all its input.
type bufferConn struct {
	net.Conn
	input bytes.Buffer
}

func (c *bufferConn) Read(b []byte) (int, error) { return c.input.Read(b) }

func (c *bufferConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// writeOpenResponse writes a head that does not end the response.
func writeOpenResponse(t *testing.T, f *http2.Framer, stream uint32) {
	t.Helper()
	var head bytes.Buffer
	qt.Assert(t, hpack.NewEncoder(&head).WriteField(okHead[0]), qt.IsNil)
	qt.Assert(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: head.Bytes(), EndHeaders: true}), qt.IsNil)
}

// TestOpenResponsesAreBounded: responses without an end take a bounded amount of memory, and none once they are reset.
func TestOpenResponsesAreBounded(t *testing.T) {
	c := &bufferConn{}
	f := http2.NewFramer(&c.input, nil)
	for i := range uint32(maxOpenResponses) {
		writeOpenResponse(t, f, 2*i+1)
		qt.Assert(t, f.WriteRSTStream(2*i+1, http2.ErrCodeCancel), qt.IsNil)
	}
	checked := newCheckedConn(c, hclog.NewNullLogger())
	_, err := io.Copy(io.Discard, checked)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, checked.responses, qt.HasLen, 0)

	for i := range uint32(maxOpenResponses) + 1 {
		writeOpenResponse(t, f, 2*i+1)
	}
	checked = newCheckedConn(c, hclog.NewNullLogger())
	_, err = io.Copy(io.Discard, checked)
	qt.Assert(t, err, qt.ErrorMatches, ".*malformed: more than 1024 open responses")
	qt.Assert(t, checked.responses, qt.HasLen, maxOpenResponses)
}

// TestUnaskedResponses: what no request asks for ends the connection.
func TestUnaskedResponses(t *testing.T) {
	tests := map[string]func(*http2.Framer) error{
		"push promise": func(f *http2.Framer) error {
			return f.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		},
		"data without a head": func(f *http2.Framer) error { return f.WriteData(1, false, []byte("a")) },
	}
	for name, write := range tests {
		t.Run(name, func(t *testing.T) {
			c := &bufferConn{}
			qt.Assert(t, write(http2.NewFramer(&c.input, nil)), qt.IsNil)
			_, err := io.Copy(io.Discard, newCheckedConn(c, hclog.NewNullLogger()))
			qt.Assert(t, err, qt.ErrorMatches, ".*malformed: "+name)
		})
	}
}
