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
	// one is set if a read returns no more than one byte.
	one bool
}

func (c *bufferConn) Read(b []byte) (int, error) {
	if c.one {
		b = b[:min(len(b), 1)]
	}
	return c.input.Read(b)
}

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

// FuzzCheckedConn: what is read of any input is a part of it from its beginning, and all of it if no error is found. It is the same if the
// input arrives byte by byte.
func FuzzCheckedConn(f *testing.F) {
	f.Add([]byte("\x0000000000")) // A frame that is cut after its header.
	for _, r := range malformedResponses(make([]byte, 2*grpcPrefixBytes)) {
		var table bytes.Buffer
		f.Add((&malformedPeer{response: r}).frames(1, hpack.NewEncoder(&table), &table))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		read := func(c net.Conn) ([]byte, error) {
			var b bytes.Buffer
			_, err := io.Copy(&b, newCheckedConn(c, hclog.NewNullLogger()))
			return b.Bytes(), err
		}
		whole := &bufferConn{}
		whole.input.Write(input)
		b, err := read(whole)
		qt.Assert(t, bytes.HasPrefix(input, b), qt.IsTrue)
		if err == nil {
			qt.Assert(t, b, qt.HasLen, len(input))
		}
		pieces := &bufferConn{one: true}
		pieces.input.Write(input)
		inPieces, errInPieces := read(pieces)
		qt.Assert(t, bytes.Equal(inPieces, b), qt.IsTrue)
		qt.Assert(t, errInPieces == nil, qt.Equals, err == nil)
	})
}
