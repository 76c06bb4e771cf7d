package forwarder

// maxHeldBytes is the longest answer that is gathered before any of it goes to the caller. Until
// then a cut answer can be replaced by one of another upstream; longer ones stream.
const maxBufferedBytes = 256 << 10

// heldAnswer is an answer that is being gathered.
type bufferedAnswer struct {
	message  *message
	body     []byte
	fromPeer bool
}

// holds tells whether answers are gathered here: at the node where the call entered the mesh.
func (x *exchange) shouldBuffer(m *message) bool {
	return x.forwarder.config.Dialect.Seal != "" && x.operation == "" && !x.caller.gone() && m.length <= maxBufferedBytes
}

// hold takes a piece of the body. It reports false once the answer is too long to be held and has been released.
func (x *exchange) buffer(data []byte) bool {
	h := x.held
	if len(h.body)+len(data) <= maxBufferedBytes {
		h.body = append(h.body, data...)
		return true
	}
	x.flushBuffered()
	return false
}

// release sends what has been gathered, and lets the rest stream.
func (x *exchange) flushBuffered() {
	h := x.held
	x.held = nil
	x.forwarder.noteAnswerBytes(x.route, int64(len(h.body)))
	x.writeHead(h.message, h.fromPeer)
	if len(h.body) > 0 {
		x.writeBody(h.body)
	}
}

// releaseWhole sends the answer, which is complete, with its length.
func (x *exchange) releaseWhole() {
	if !bodyless(x.held.message.status) && x.request.message.method != "HEAD" {
		x.held.message.length = int64(len(x.held.body))
		x.held.message.chunked = false
	}
	x.flushBuffered()
}

// keepFallback takes a piece of the body of a failure that is kept. One that is too long is not kept.
func (x *exchange) keepFallback(a *attempt, data []byte) {
	h := x.fallback
	if h == nil || h.message != a.swallowed {
		return
	}
	if len(h.body)+len(data) > maxBufferedBytes {
		x.fallback = nil
		return
	}
	h.body = append(h.body, data...)
}

// giveFallback answers with the failure that an upstream gave, since no other one has taken the call.
func (x *exchange) giveFallback() {
	x.held = x.fallback
	x.fallback = nil
	x.writeEnd("")
}
