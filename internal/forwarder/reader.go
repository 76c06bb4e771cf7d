package forwarder

import (
	"net"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxHeaderBytes bounds the head of a message.
	maxHeaderBytes = 32 << 10
	// maxHeaderLines bounds the header lines of a message.
	maxHeaderLines = 128
	// parseLimit bounds what the parser gathers: a head or a short body.
	parseLimit = 1 << 20
	// gatherLimit is the longest body that is gathered before it is handed on.
	gatherLimit = 64 << 10
	// untilClose is the raw length of an answer that ends with its connection.
	untilClose = -1
	// untilLastChunk is the raw length of a body that comes in chunks.
	untilLastChunk = -2
)

// parserEngine only carries the parser's limit.
var parserEngine = &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: parseLimit}}

// messageHandler receives the messages of a connection.
type messageHandler interface {
	// onHead gets a complete head. An error ends the connection.
	onHead(m *message) error
	// onBody gets a piece of the body that is valid during the call only.
	onBody(data []byte) error
	// onEnd is called once for each message.
	onEnd() error
	// isHead tells whether the answer being read is to a HEAD request.
	isHead() bool
}

// reader parses one direction of a connection. nbhttp's parser gathers a body or chunk whole before it
// hands it on; the reader takes over the raw bytes of long bodies and of chunks, so that they stream.
type reader struct {
	handler messageHandler
	client  bool
	parser  *nbhttp.Parser
	message *message
	failed  error
	// inBody tells that the head of the current message was handed on.
	inBody bool

	// hooked tells that the parser hands raw bytes to Parse; raw that they belong to a body.
	hooked bool
	raw    bool
	// remaining is the number of raw bytes still to come, or untilClose.
	remaining int64
	// chunks decodes a raw body that comes in chunks, or is nil.
	chunks *chunkDecoder
	rest   []byte
}

func newReader(h messageHandler, client bool) *reader {
	r := &reader{handler: h, client: client}
	r.reset()
	return r
}

func (r *reader) reset() {
	r.parser = nbhttp.NewParser(nil, parserEngine, r, r.client, nil)
	r.hooked = false
	r.raw = false
	r.remaining = 0
	r.chunks = nil
	r.rest = nil
}

// feed parses what was read from the connection.
func (r *reader) feed(data []byte) error {
	for {
		if r.raw {
			n, err := r.feedRaw(data)
			if err != nil {
				return err
			}
			data = data[n:]
		}
		if len(data) == 0 {
			return nil
		}
		if err := r.parse(data); err != nil {
			return err
		}
		data = r.rest
		r.rest = nil
		if !r.raw {
			return nil
		}
	}
}

func (r *reader) parse(data []byte) error {
	if !r.inBody && r.message != nil && r.message.bytes > maxHeaderBytes {
		return &Error{Operation: "parse", Kind: KindTooLarge, Detail: "header"}
	}
	if !r.inBody {
		r.count(len(data))
	}
	if err := r.parser.Parse(data); err != nil {
		return &Error{Operation: "parse", Kind: KindMalformed, Detail: err.Error()}
	}
	return r.failed
}

// count bounds the bytes of a head that trickles in without a single complete line.
func (r *reader) count(n int) {
	if r.message == nil {
		r.message = &message{length: -1}
	}
	if n < gatherLimit {
		r.message.bytes += n
	}
}

func (r *reader) feedRaw(data []byte) (int, error) {
	if r.chunks != nil {
		return r.feedChunks(data)
	}
	n := len(data)
	if r.remaining != untilClose {
		n = int(min(int64(n), r.remaining))
		r.remaining -= int64(n)
	}
	if n > 0 {
		if err := r.handler.onBody(data[:n]); err != nil {
			return n, err
		}
	}
	if r.remaining == 0 {
		r.reset()
		return n, r.end()
	}
	return n, nil
}

func (r *reader) feedChunks(data []byte) (int, error) {
	n, err := r.chunks.decode(data, r.handler.onBody)
	if err != nil {
		return n, err
	}
	if r.chunks.done() {
		r.reset()
		return n, r.end()
	}
	return n, nil
}

func (r *reader) end() error {
	r.message = nil
	r.inBody = false
	return r.handler.onEnd()
}

// endsWithConnection tells whether the message being read has no other end than that of the connection.
func (r *reader) endsWithConnection() bool {
	return r.raw && r.chunks == nil && r.remaining == untilClose
}

// finish is called when the connection has ended, in order or not. It reports whether the last message is whole.
func (r *reader) finish(inOrder bool) bool {
	if inOrder && r.endsWithConnection() {
		r.reset()
		return r.end() == nil
	}
	return r.message == nil && !r.inBody
}

// The methods below implement nbhttp.Processor and nbhttp.ParserCloser.

// OnMethod starts a request.
func (r *reader) OnMethod(_ *nbhttp.Parser, method string) {
	r.startMessage().method = method
}

func (r *reader) startMessage() *message {
	bytes := 0
	if r.message != nil {
		bytes = r.message.bytes
	}
	r.message = &message{length: -1, bytes: bytes, header: make([]field, 0, 12)}
	return r.message
}

// OnURL takes the request's target.
func (r *reader) OnURL(_ *nbhttp.Parser, uri string) error {
	r.message.uri = uri
	return nil
}

// OnProto takes the protocol; it is the first part of an answer.
func (r *reader) OnProto(_ *nbhttp.Parser, proto string) error {
	if r.client {
		r.startMessage()
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return &Error{Operation: "parse", Kind: KindMalformed, Detail: "protocol " + proto}
	}
	r.message.proto = proto
	return nil
}

// OnStatus takes an answer's status.
func (r *reader) OnStatus(_ *nbhttp.Parser, code int, status string) {
	if strings.Contains(status, ": ") {
		// Without a reason phrase the parser takes the first header line for one.
		r.fail(KindMalformed, "status line without a reason phrase")
	}
	r.message.status = code
	r.message.reason = status
}

// OnHeader takes a header line.
func (r *reader) OnHeader(_ *nbhttp.Parser, key, value string) {
	r.message.headBytes += len(key) + len(value)
	if r.message.headBytes > maxHeaderBytes {
		r.fail(KindTooLarge, "header")
		return
	}
	if strings.ContainsAny(value, "\x00\r\n") {
		r.fail(KindMalformed, "control byte in a header value")
		return
	}
	if len(r.message.header) >= maxHeaderLines {
		r.fail(KindTooLarge, "too many header lines")
		return
	}
	switch key {
	case headerContentLength:
		if r.message.hasLength && r.message.get(headerContentLength) != value {
			r.fail(KindMalformed, "conflicting Content-Length lines")
		}
		r.message.hasLength = true
	case headerTransfer:
		r.message.chunked = true
	}
	r.message.header = append(r.message.header, field{key: key, value: strings.TrimRight(value, " \t")})
}

func (r *reader) fail(kind Kind, detail string) {
	if r.failed == nil {
		r.failed = &Error{Operation: "parse", Kind: kind, Detail: detail}
	}
}

// OnContentLength is called at the end of a head.
func (r *reader) OnContentLength(p *nbhttp.Parser, length int) {
	m := r.message
	if m.chunked && m.hasLength {
		r.fail(KindMalformed, "both Content-Length and Transfer-Encoding")
	}
	if r.failed != nil {
		return
	}
	m.length = int64(length)
	if !m.chunked && length < 0 && !r.client {
		m.length = 0
	}
	if takeOver, raw := r.rawLength(m); takeOver {
		r.hooked = true
		r.remaining = raw
		if m.chunked && raw == untilLastChunk {
			r.chunks = &chunkDecoder{}
		}
		p.ParserCloser = r
	}
	r.inBody = true
	if r.failed = r.handler.onHead(m); r.failed != nil {
		r.hooked = false
	}
}

// rawLength tells whether the reader takes the body from the parser, and its length.
func (r *reader) rawLength(m *message) (takeOver bool, length int64) {
	if r.client {
		switch {
		case r.handler.isHead() || bodyless(m.status):
			return m.length > 0 || m.chunked, 0
		case !m.chunked && m.length < 0:
			return true, untilClose
		}
	}
	if m.chunked {
		return true, untilLastChunk
	}
	return m.length > gatherLimit, m.length
}

// OnBody takes a gathered body or one chunk.
func (r *reader) OnBody(_ *nbhttp.Parser, data []byte) error {
	if r.failed != nil {
		return r.failed
	}
	return r.handler.onBody(data)
}

// OnTrailerHeader drops trailers.
func (r *reader) OnTrailerHeader(_ *nbhttp.Parser, _, _ string) {}

// OnComplete ends a message whose body the parser has read.
func (r *reader) OnComplete(_ *nbhttp.Parser) {
	if r.failed == nil && !r.hooked {
		r.failed = r.end()
	}
}

// Close does nothing: the connection owns the reader.
func (r *reader) Close(_ *nbhttp.Parser, _ error) {}

// Clean does nothing.
func (r *reader) Clean(_ *nbhttp.Parser) {}

// Parse takes raw bytes from the parser, the first of which ends the head.
func (r *reader) Parse(data []byte) error {
	if !r.raw {
		r.raw = true
		data = data[1:]
	}
	r.rest = append([]byte(nil), data...)
	return nil
}

// UnderlayerConn returns nil: the reader has no connection of its own.
func (r *reader) UnderlayerConn() net.Conn { return nil }

// CloseAndClean does nothing.
func (r *reader) CloseAndClean(_ error) {}
