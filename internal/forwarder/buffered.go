package forwarder

import (
	"bytes"
	"net/http"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// maxBufferedResponseBytes is the longest response body that is buffered before any of it is sent to the caller. If
// the connection is lost before a buffered response is complete, another upstream's response can replace it. Longer
// responses are streamed.
const maxBufferedResponseBytes = 256 << 10

// bufferedResponse is a response that is being buffered.
type bufferedResponse struct {
	message *message
	// body is what has been read of the body so far.
	body []byte
	// fromPeer reports whether the response comes from another node.
	fromPeer bool
}

// shouldBuffer reports whether a response is buffered: at the node where the call entered the mesh, and only if
// responses are sealed and this one may be short enough.
func (x *exchange) shouldBuffer(m *message) bool {
	return x.forwarder.config.Dialect.Seal != "" && x.operation == "" && !x.caller.disconnected() &&
		m.length <= maxBufferedResponseBytes
}

// buffer appends a part of the body to the buffered response. It returns false once the response is too long and has
// been flushed; data is then still to be sent.
func (x *exchange) buffer(data []byte) bool {
	r := x.buffered
	if len(r.body)+len(data) <= maxBufferedResponseBytes {
		r.body = append(r.body, data...)
		return true
	}
	x.flushBuffered()
	return false
}

// flushBuffered sends what has been buffered; the rest is streamed.
func (x *exchange) flushBuffered() {
	r := x.buffered
	x.buffered = nil
	x.forwarder.recordResponseBytes(x.route, int64(len(r.body)))
	x.writeHead(r.message, r.fromPeer)
	if len(r.body) > 0 {
		x.writeBody(r.body)
	}
}

// startsOver reports whether the buffered response contains the head of another response to the call: its upstream has sent
// a part of the response, then the whole, and the part's length was filled with the beginning of the whole.
func (x *exchange) startsOver() bool { return x.buffered != nil && x.hasResponseHead(x.buffered.body) }

// hasResponseHead reports whether a body contains the head of a response to the call, as far as its ID.
func (x *exchange) hasResponseHead(body []byte) bool {
	id := x.requestID()
	if id == "" {
		return false
	}
	rest, found := parser.AfterStatusLine(body)
	return found && bytes.Contains(rest, []byte(id))
}

// sendBuffered sends the buffered response, which must be complete, with its length instead of chunks.
func (x *exchange) sendBuffered() {
	r := x.buffered
	if !parser.Bodyless(r.message.status) && x.request.message.method != http.MethodHead {
		length := int64(len(r.body))
		x.forwarder.common.Checker.Assert(r.message.length < 0 || r.message.length == length, checker.ResponseComplete,
			"response to call %x buffered with %d of %d bytes", x.id, length, r.message.length)
		r.message.length = length
		r.message.chunked = false
	}
	x.flushBuffered()
}

// bufferFailure appends a part of the body to the failure response that may become the call's fallback. Its length is
// limited by maxUnforwardedBytes.
func (a *attempt) bufferFailure(data []byte) {
	if r := a.failure; r != nil {
		r.body = append(r.body, data...)
	}
}

// keepFailure makes the attempt's failure response the call's fallback if it has been read completely.
func (a *attempt) keepFailure() {
	if a.failure != nil && !a.responseCut {
		a.exchange.fallback = a.failure
	}
}

// sendFallback sends an upstream's failure response to the caller, since no other upstream has taken the call.
func (x *exchange) sendFallback() {
	x.buffered = x.fallback
	x.fallback = nil
	x.writeEnd("")
}
