package forwarder

// maxBufferedResponseBytes is the longest response body that is buffered before any of it is sent to the caller. If
// the connection is lost before a buffered response is complete, another upstream's response can replace it. Longer
// responses are streamed.
const maxBufferedResponseBytes = 256 << 10

// bufferedResponse is a response that is being buffered.
type bufferedResponse struct {
	message  *message
	body     []byte
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

// sendBuffered sends the buffered response, which is complete, with its length instead of chunks.
func (x *exchange) sendBuffered() {
	if !bodyless(x.buffered.message.status) && x.request.message.method != "HEAD" {
		x.buffered.message.length = int64(len(x.buffered.body))
		x.buffered.message.chunked = false
	}
	x.flushBuffered()
}

// bufferFallback appends a part of the body to the fallback if it belongs to it. A fallback that is too long is
// dropped.
func (x *exchange) bufferFallback(a *attempt, data []byte) {
	r := x.fallback
	if r == nil || r.message != a.suppressed {
		return
	}
	if len(r.body)+len(data) > maxBufferedResponseBytes {
		x.fallback = nil
		return
	}
	r.body = append(r.body, data...)
}

// sendFallback sends an upstream's failure response to the caller, since no other upstream has taken the call.
func (x *exchange) sendFallback() {
	x.buffered = x.fallback
	x.fallback = nil
	x.writeEnd("")
}
