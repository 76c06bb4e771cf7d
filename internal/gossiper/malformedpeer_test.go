package gossiper

import (
	"bytes"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
)

// grpcPrefixBytes is the length of what precedes a message: a flag and four bytes with its length.
const grpcPrefixBytes = 5

// scriptedResponse is what a malformedPeer sends for a request.
type scriptedResponse struct {
	// interim is sent before head unless it is empty.
	interim []hpack.HeaderField
	head    []hpack.HeaderField
	data    []byte
	// trailers end the response. If they are empty, data does.
	trailers []hpack.HeaderField
	// open leaves the response without an end.
	open bool
	// split sends head and trailers in two frames each.
	split bool
	// padding is added to data.
	padding []byte
}

// malformedPeer sends for each request of a gRPC client the same response, in frames of HTTP/2, which may break any rule.
type malformedPeer struct {
	listener net.Listener
	response scriptedResponse
	write    func(w io.Writer, text string)
}

func newMalformedPeer(t *testing.T, r scriptedResponse, write func(io.Writer, string)) *malformedPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &malformedPeer{listener: l, response: r, write: write}
	t.Cleanup(func() { _ = l.Close() })
	go p.run()
	return p
}

func (p *malformedPeer) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve responds to the requests on a connection until the client closes it.
func (p *malformedPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := io.CopyN(io.Discard, c, int64(len(http2.ClientPreface))); err != nil {
		return
	}
	reader := http2.NewFramer(io.Discard, c)
	settings := &bytes.Buffer{}
	_ = http2.NewFramer(settings, nil).WriteSettings()
	p.write(c, settings.String())
	// The table of header compression lasts as long as the connection.
	compressed := &bytes.Buffer{}
	compressor := hpack.NewEncoder(compressed)
	for {
		f, err := reader.ReadFrame()
		if err != nil {
			return
		}
		if h, ok := f.(*http2.HeadersFrame); ok {
			p.write(c, string(p.frames(h.StreamID, compressor, compressed)))
		}
	}
}

// frames returns the response as frames.
func (p *malformedPeer) frames(stream uint32, compressor *hpack.Encoder, compressed *bytes.Buffer) []byte {
	frames := &bytes.Buffer{}
	writer := http2.NewFramer(frames, nil)
	writer.AllowIllegalWrites = true
	r := p.response
	writeFields := func(fields []hpack.HeaderField, end bool) {
		if len(fields) == 0 {
			return
		}
		compressed.Reset()
		for _, f := range fields {
			_ = compressor.WriteField(f)
		}
		first, rest := compressed.Bytes(), []byte(nil)
		if r.split {
			first, rest = first[:1], first[1:]
		}
		_ = writer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndHeaders: !r.split, EndStream: end})
		if r.split {
			_ = writer.WriteContinuation(stream, true, rest)
		}
	}
	writeFields(r.interim, false)
	writeFields(r.head, false)
	_ = writer.WriteDataPadded(stream, !r.open && len(r.trailers) == 0, r.data, r.padding)
	writeFields(r.trailers, true)
	return frames.Bytes()
}

// grpcMessage returns a message with its prefix.
func grpcMessage(t *testing.T, m proto.Message) []byte {
	t.Helper()
	encoded, err := proto.Marshal(m)
	qt.Assert(t, err, qt.IsNil)
	prefix := [grpcPrefixBytes]byte{grpcPrefixBytes - 1: byte(len(encoded))}
	return append(prefix[:], encoded...)
}

// fields returns header fields from names and values in turn.
func fields(namesAndValues ...string) []hpack.HeaderField {
	var all []hpack.HeaderField
	for i := 0; i < len(namesAndValues); i += 2 {
		all = append(all, hpack.HeaderField{Name: namesAndValues[i], Value: namesAndValues[i+1]})
	}
	return all
}
