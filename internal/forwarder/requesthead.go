package forwarder

import (
	"net"
	"strings"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// The exported methods in this file implement nbhttp.Processor and nbhttp.ParserCloser.

// feedRequests parses bytes read from the connection. nbhttp's parser passes a head on at its last carriage return. A
// carriage return at the end of the input is therefore held back until more follows, so that a head without its last line
// feed, which is truncated, is not taken for a complete one.
func (r *reader) feedRequests(data []byte) error {
	if r.heldCR {
		r.heldCR = false
		data = append([]byte{'\r'}, data...)
	}
	if n := len(data) - 1; n >= 0 && data[n] == '\r' {
		if err := r.feedParts(data[:n]); err != nil {
			return err
		}
		if r.message != nil && !r.inBody {
			r.heldCR = true
			return nil
		}
		data = data[n:]
	}
	return r.feedParts(data)
}

// feedRequestHead passes input to nbhttp's parser, which parses heads and short bodies. It returns what Parse has taken.
func (r *reader) feedRequestHead(data []byte) (rest []byte, err error) {
	if !r.inBody {
		if r.message != nil && r.message.receivedBytes > maxHeaderBytes {
			return nil, &Error{Operation: "parse", Kind: KindTooLarge, Detail: "header"}
		}
		r.countHeadBytes(len(data))
	}
	err = r.requests.Parse(data)
	switch {
	case r.err != nil:
		return nil, r.err
	case err != nil:
		return nil, &Error{Operation: "parse", Kind: KindMalformed, Detail: err.Error()}
	}
	rest = r.leftover
	r.leftover = nil
	return rest, nil
}

// countHeadBytes counts the received bytes of an incomplete head, so that feedRequestHead also limits a head that arrives
// without one complete line.
func (r *reader) countHeadBytes(n int) {
	if r.message == nil {
		r.message = &message{length: -1}
	}
	r.message.receivedBytes += n
}

// OnMethod starts a request: the method is its first part.
func (r *reader) OnMethod(_ *nbhttp.Parser, method string) {
	r.startMessage().method = method
}

func (r *reader) startMessage() *message {
	bytes := 0
	if r.message != nil {
		bytes = r.message.receivedBytes
	}
	r.message = &message{length: -1, receivedBytes: bytes, header: make([]parser.Field, 0, 12)}
	return r.message
}

// OnURL sets the request target.
func (r *reader) OnURL(_ *nbhttp.Parser, uri string) error {
	r.message.uri = uri
	return nil
}

// OnProto sets the protocol version.
func (r *reader) OnProto(_ *nbhttp.Parser, proto string) error {
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return &Error{Operation: "parse", Kind: KindMalformed, Detail: "protocol " + proto}
	}
	r.message.proto = proto
	return nil
}

// OnStatus does nothing: requests have no status.
func (r *reader) OnStatus(_ *nbhttp.Parser, _ int, _ string) {}

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
	r.message.header = append(r.message.header, parser.Field{Key: key, Value: strings.TrimRight(value, " \t")})
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
	if !m.chunked && length < 0 {
		m.length = 0
	}
	switch {
	case m.chunked:
		r.bypass(p, lengthChunked)
	case m.length > maxBufferedBodyBytes:
		r.bypass(p, m.length)
	}
	r.inBody = true
	if r.err = r.handler.onHead(m); r.err != nil {
		r.bypassed = false
	}
}

// bypass has the reader decode the body in place of nbhttp's parser. length is the body's length or lengthChunked.
func (r *reader) bypass(p *nbhttp.Parser, length int64) {
	r.bypassed = true
	r.startBody(length)
	p.ParserCloser = r
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
		data = data[1:]
	}
	r.leftover = append([]byte(nil), data...)
	return nil
}

// UnderlayerConn returns nil: the reader has no connection of its own.
func (r *reader) UnderlayerConn() net.Conn { return nil }

// CloseAndClean does nothing.
func (r *reader) CloseAndClean(_ error) {}
