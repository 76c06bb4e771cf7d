package forwarder

import (
	"net"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// The methods in this file implement nbhttp.Processor and nbhttp.ParserCloser.

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
		r.collects = r.client && length > 0 && length <= maxBufferedBodyBytes
		if m.chunked && length == lengthChunked {
			r.chunks = &chunkDecoder{}
		}
		p.ParserCloser = r
	}
	if r.client {
		// Parse passes the head on.
		return
	}
	r.passHead()
}

// passHead passes on a complete head.
func (r *reader) passHead() {
	r.inBody = true
	if r.err = r.handler.onHead(r.message); r.err != nil {
		r.bypassed = false
	}
}

// rawBodyLength reports whether the reader decodes the body in place of the parser, and the body's length,
// lengthCloseDelimited or lengthChunked.
func (r *reader) rawBodyLength(m *message) (bypass bool, length int64) {
	switch {
	case r.client && (r.handler.isHead() || bodyless(m.status)):
		return true, 0
	case m.chunked:
		return true, lengthChunked
	case r.client && m.length < 0:
		return true, lengthCloseDelimited
	}
	return r.client || m.length > maxBufferedBodyBytes, m.length
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
		r.err = r.end(false)
	}
}

// Close does nothing: the conn closes the connection.
func (r *reader) Close(_ *nbhttp.Parser, _ error) {}

// Clean does nothing.
func (r *reader) Clean(_ *nbhttp.Parser) {}

// Parse takes the input after the head from the parser. The first byte of the first call must be the line feed that ends
// the head. The input is copied, since it belongs to the parser.
func (r *reader) Parse(data []byte) error {
	if !r.rawBody {
		r.rawBody = true
		if data[0] != '\n' {
			return &Error{Operation: "parse", Kind: KindMalformed, Detail: "no line feed after the head"}
		}
		if r.client {
			r.passResponseHead(len(data))
		}
		data = data[1:]
	}
	r.leftover = append([]byte(nil), data...)
	return nil
}

// passResponseHead passes on a response head unless it contains the beginning of another one. rest is the length of the
// input that follows the head.
func (r *reader) passResponseHead(rest int) {
	head := r.input[:max(len(r.input)-rest, 0)]
	if len(r.head) > 0 {
		head = append(r.head, head...)
	}
	if _, found := afterStatusLine(head[min(1, len(head)):]); found {
		r.fail(KindMalformed, "status line within a response head")
		return
	}
	r.passHead()
}

// UnderlayerConn returns nil: the reader has no connection of its own.
func (r *reader) UnderlayerConn() net.Conn { return nil }

// CloseAndClean does nothing.
func (r *reader) CloseAndClean(_ error) {}
