package forwarder

// maxBufferedResponseBytes is the longest response body that is buffered before any of it is sent to the caller. A
// buffered response that is lost midway can be replaced by another upstream's; longer ones are streamed.
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
	return x.forwarder.config.Dialect.Seal != "" && x.operation == "" && !x.caller.disconnected() && m.length <= maxBufferedResponseBytes
}

// buffer appends a part of the body to the held response. It returns false once the response is too long and has been
// flushed; data is then still to be sent.
func (x *exchange) buffer(data []byte) bool {
	h := x.held
	if len(h.body)+len(data) <= maxBufferedResponseBytes {
		h.body = append(h.body, data...)
		return true
	}
	x.flushBuffered()
	return false
}

// flushBuffered sends what has been buffered; the rest is streamed.
func (x *exchange) flushBuffered() {
	h := x.held
	x.held = nil
	x.forwarder.recordResponseBytes(x.route, int64(len(h.body)))
	x.writeHead(h.message, h.fromPeer)
	if len(h.body) > 0 {
		x.writeBody(h.body)
	}
}

// releaseWhole sends the held response, which is complete, with its length instead of chunks.
func (x *exchange) releaseWhole() {
	if !bodyless(x.held.message.status) && x.request.message.method != "HEAD" {
		x.held.message.length = int64(len(x.held.body))
		x.held.message.chunked = false
	}
	x.flushBuffered()
}

// keepFallback appends a part of the body to the fallback if it belongs to it. A fallback that is too long is dropped.
func (x *exchange) keepFallback(a *attempt, data []byte) {
	h := x.fallback
	if h == nil || h.message != a.swallowed {
		return
	}
	if len(h.body)+len(data) > maxBufferedResponseBytes {
		x.fallback = nil
		return
	}
	h.body = append(h.body, data...)
}

// giveFallback sends an upstream's failure response to the caller, since no other upstream has taken the call.
func (x *exchange) giveFallback() {
	x.held = x.fallback
	x.fallback = nil
	x.writeEnd("")
}
