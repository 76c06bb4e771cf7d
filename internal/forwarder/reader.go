package forwarder

import (
	"net"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxHeaderBytes limits the head of a message.
	maxHeaderBytes = 32 << 10
	// maxHeaderLines limits the number of header fields of a message.
	maxHeaderLines = 128
	// parserReadLimit limits what the parser buffers, in bytes: a head or a short body.
	parserReadLimit = 1 << 20
	// maxBufferedBodyBytes is the length up to which a body is buffered whole before it is passed on.
	maxBufferedBodyBytes = 64 << 10
	// lengthCloseDelimited stands for the length of a response body that ends when the connection closes.
	lengthCloseDelimited = -1
	// lengthChunked stands for the length of a chunked body.
	lengthChunked = -2
)

// parserEngine only holds the parser's read limit; it is never started.
var parserEngine = &nbhttp.Engine{Config: nbhttp.Config{ReadLimit: parserReadLimit}}

// messageHandler receives the messages of a connection. An error from onHead, onBody or onEnd closes the connection.
type messageHandler interface {
	// onHead is called with a complete head.
	onHead(m *message) error
	// onBody is called with each piece of the body. The piece is valid only during the call.
	onBody(data []byte) error
	// onEnd is called once for each message, after its body.
	onEnd() error
	// isHead reports whether the response being read answers a HEAD request.
	isHead() bool
}

// reader parses the input of a connection: responses if client is set, else requests. nbhttp's parser buffers a whole
// body or chunk before it passes it on. To stream long and chunked bodies, the reader takes the bytes after the head
// from the parser and decodes the body itself.
type reader struct {
	handler messageHandler
	client  bool
	parser  *nbhttp.Parser
	message *message
	// err is the first error found by a callback of the parser.
	err error
	// inBody is set once the head of the current message has been passed on.
	inBody bool

	// bypassed is set if the parser passes everything after the head of the current message to Parse, and rawBody once
	// Parse has been called, so that input belongs to the body.
	bypassed bool
	rawBody  bool
	// remaining is the number of body bytes still to come, or lengthCloseDelimited. It is unused if chunks is set.
	remaining int64
	// chunks decodes a chunked body, or is nil.
	chunks *chunkDecoder
	// leftover is the input after the head that Parse has taken from the parser.
	leftover []byte
}

func newReader(handler messageHandler, client bool) *reader {
	r := &reader{handler: handler, client: client}
	r.reset()
	return r
}

// reset prepares for the next message with a new parser.
func (r *reader) reset() {
	r.parser = nbhttp.NewParser(nil, parserEngine, r, r.client, nil)
	r.bypassed = false
	r.rawBody = false
	r.remaining = 0
	r.chunks = nil
	r.leftover = nil
}

// feed parses bytes read from the connection.
func (r *reader) feed(data []byte) error {
	for {
		if r.rawBody {
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
		data = r.leftover
		r.leftover = nil
		if !r.rawBody {
			return nil
		}
	}
}

func (r *reader) parse(data []byte) error {
	if !r.inBody && r.message != nil && r.message.receivedBytes > maxHeaderBytes {
		return &Error{Operation: "parse", Kind: KindTooLarge, Detail: "header"}
	}
	if !r.inBody {
		r.countHeadBytes(len(data))
	}
	if err := r.parser.Parse(data); err != nil {
		return &Error{Operation: "parse", Kind: KindMalformed, Detail: err.Error()}
	}
	return r.err
}

// countHeadBytes counts the received bytes of an incomplete head, so that parse also limits a head that arrives in
// small pieces without one complete line. Pieces of maxBufferedBodyBytes or more are not counted.
func (r *reader) countHeadBytes(n int) {
	if r.message == nil {
		r.message = &message{length: -1}
	}
	if n < maxBufferedBodyBytes {
		r.message.receivedBytes += n
	}
}

func (r *reader) feedRaw(data []byte) (int, error) {
	if r.chunks != nil {
		return r.feedChunks(data)
	}
	n := len(data)
	if r.remaining != lengthCloseDelimited {
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

// closeDelimited reports whether the body being read ends when the connection closes.
func (r *reader) closeDelimited() bool {
	return r.rawBody && r.chunks == nil && r.remaining == lengthCloseDelimited
}

// finish is called when the connection has been closed, by the peer without a reset or otherwise. It reports whether
// the last message is complete.
func (r *reader) finish(peerClosed bool) bool {
	if peerClosed && r.closeDelimited() {
		r.reset()
		return r.end() == nil
	}
	return r.message == nil && !r.inBody
}

// The methods below implement nbhttp.Processor and nbhttp.ParserCloser.

// OnMethod starts a request: the method is its first part.
func (r *reader) OnMethod(_ *nbhttp.Parser, method string) {
	r.startMessage().method = method
}

func (r *reader) startMessage() *message {
	bytes := 0
	if r.message != nil {
		bytes = r.message.receivedBytes
	}
	r.message = &message{length: -1, receivedBytes: bytes, header: make([]field, 0, 12)}
	return r.message
}

// OnURL sets the request target.
func (r *reader) OnURL(_ *nbhttp.Parser, uri string) error {
	r.message.uri = uri
	return nil
}

// OnProto sets the protocol version. It starts a response, of which the version is the first part.
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

// OnStatus sets the status code and reason phrase of a response.
func (r *reader) OnStatus(_ *nbhttp.Parser, code int, status string) {
	if strings.Contains(status, ": ") {
		// If the reason phrase is missing, the parser mistakes the first header line for it.
		r.fail(KindMalformed, "status line without a reason phrase")
	}
	r.message.status = code
	r.message.reason = status
}

// OnHeader adds a header field.
func (r *reader) OnHeader(_ *nbhttp.Parser, key, value string) {
	r.message.fieldBytes += len(key) + len(value)
	if r.message.fieldBytes > maxHeaderBytes {
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
	case headerTransferEncoding:
		r.message.chunked = true
	}
	r.message.header = append(r.message.header, field{key: key, value: strings.TrimRight(value, " \t")})
}

func (r *reader) fail(kind Kind, detail string) {
	if r.err == nil {
		r.err = &Error{Operation: "parse", Kind: kind, Detail: detail}
	}
}

// OnContentLength is called at the end of a head. The length is negative if the head has none.
func (r *reader) OnContentLength(p *nbhttp.Parser, length int) {
	m := r.message
	if m.chunked && m.hasLength {
		r.fail(KindMalformed, "both Content-Length and Transfer-Encoding")
	}
	if r.err != nil {
		return
	}
	m.length = int64(length)
	if !m.chunked && length < 0 && !r.client {
		m.length = 0
	}
	if bypass, length := r.rawBodyLength(m); bypass {
		r.bypassed = true
		r.remaining = length
		if m.chunked && length == lengthChunked {
			r.chunks = &chunkDecoder{}
		}
		p.ParserCloser = r
	}
	r.inBody = true
	if r.err = r.handler.onHead(m); r.err != nil {
		r.bypassed = false
	}
}

// rawBodyLength reports whether the reader decodes the body in place of the parser, and the body's length,
// lengthCloseDelimited or lengthChunked.
func (r *reader) rawBodyLength(m *message) (bypass bool, length int64) {
	if r.client {
		switch {
		case r.handler.isHead() || bodyless(m.status):
			return m.length > 0 || m.chunked, 0
		case !m.chunked && m.length < 0:
			return true, lengthCloseDelimited
		}
	}
	if m.chunked {
		return true, lengthChunked
	}
	return m.length > maxBufferedBodyBytes, m.length
}

// OnBody passes on a body that the parser has buffered.
func (r *reader) OnBody(_ *nbhttp.Parser, data []byte) error {
	if r.err != nil {
		return r.err
	}
	return r.handler.onBody(data)
}

// OnTrailerHeader drops the trailer field.
func (r *reader) OnTrailerHeader(_ *nbhttp.Parser, _, _ string) {}

// OnComplete ends a message whose body, if any, was read by the parser.
func (r *reader) OnComplete(_ *nbhttp.Parser) {
	if r.err == nil && !r.bypassed {
		r.err = r.end()
	}
}

// Close does nothing: the conn closes the connection.
func (r *reader) Close(_ *nbhttp.Parser, _ error) {}

// Clean does nothing.
func (r *reader) Clean(_ *nbhttp.Parser) {}

// Parse takes the input after the head from the parser. The first byte of the first call is the line feed that ends the
// head. The input is copied, since it belongs to the parser.
func (r *reader) Parse(data []byte) error {
	if !r.rawBody {
		r.rawBody = true
		data = data[1:]
	}
	r.leftover = append([]byte(nil), data...)
	return nil
}

// UnderlayerConn returns nil: the reader has no connection of its own.
func (r *reader) UnderlayerConn() net.Conn { return nil }

// CloseAndClean does nothing.
func (r *reader) CloseAndClean(_ error) {}
