package forwarder

import (
	"bytes"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
)

// Operations that a node requests of another node, as values of headerOperation.
const (
	// operationCall sends a call to the upstream beside the receiving node.
	operationCall = "call"
	// operationClaim asks for the outcome of an earlier call. If that has not arrived, the receiving node fences it: it
	// refuses the call if it arrives later.
	operationClaim = "claim"
	// operationOwn sends a keyed call to the node that owns its idempotency key.
	operationOwn = "own"
	// operationReserve asks a node to reserve an idempotency key for its owner.
	operationReserve = "reserve"
)

// attemptKind is the kind of request that an attempt sends.
type attemptKind int

const (
	// kindCall sends the caller's request.
	kindCall attemptKind = iota
	// kindClaim asks for the outcome of another attempt.
	kindClaim
	// kindReserve reserves an idempotency key.
	kindReserve
)

const (
	// interimBurst is how many interim (1xx) responses an attempt may receive at once; one more is allowed for each
	// interimInterval since it began.
	interimBurst    = 32
	interimInterval = 50 * time.Millisecond
)

// attempt is one request to the local upstream or to another node, on behalf of an exchange. It is over once ended
// is set: by a complete response, a lost connection, or cancel.
type attempt struct {
	exchange *exchange
	kind     attemptKind
	// operation is what the other node is asked for; it is empty for the local upstream.
	operation string
	// id identifies the attempt to the other node. A claim has the ID of the attempt it asks about.
	id uint64
	// endpoint is the upstream whose node the request goes to, or nil for the local upstream.
	endpoint *balancer.Endpoint
	// incarnation is the upstream that the request is addressed to, if that is the local one.
	incarnation balancer.Incarnation
	pool        *pool
	// conn is nil until the pool has provided a connection.
	conn *clientConn
	// fresh requests a new connection.
	fresh bool
	// began is when the connection was available and sending began.
	began time.Time
	// sent reports whether a byte of the request may have left this node.
	sent bool
	// knownNotRun reports whether the request, although sent, is known not to have run.
	knownNotRun bool
	// requestSent reports whether the whole request has been written.
	requestSent bool
	// interimCount counts the interim responses.
	interimCount int
	headSeen     bool
	// response is the head of the response.
	response *message
	// latency is the time from began to the head of the response.
	latency time.Duration
	// lastProgressAt is when the request was sent or the node last reported progress.
	lastProgressAt time.Time
	// suppressed is the head of a response that is read but not forwarded.
	suppressed *message
	// failure is the suppressed response while it is read, if it is a failure of the upstream itself. It becomes the
	// call's fallback only once it is complete: a cancelled or lost attempt leaves none.
	failure *bufferedResponse
	// responseCut is set if the rest of a response that is not forwarded is not read, because it is too long.
	responseCut bool
	// responseClass is the meaning of the local upstream's response.
	responseClass responseClass
	// reservedBytes is the expected length of the local upstream's response, which is reserved on the link.
	reservedBytes float64
	// received counts the bytes of the response's body.
	received int64
	ended    bool
}

func (a *attempt) local() bool { return a.endpoint == nil }

// onConnected sends as much of the request as has been read over a connection that the pool has provided.
func (a *attempt) onConnected(c *clientConn) {
	x := a.exchange
	a.conn = c
	c.attempt = a
	a.began = time.Now()
	a.lastProgressAt = a.began
	head := a.requestHead()
	if a.kind != kindCall {
		a.requestSent = true
		a.sent = c.conn.write(head)
		return
	}
	// If the connection fails here, nothing was sent, and onLost sees sent as false.
	chunked := x.request.message.length < 0
	if len(x.request.body) > 0 {
		head = appendBody(head, x.request.body, chunked)
	}
	if x.request.complete && chunked {
		head = append(head, lastChunk...)
	}
	if !c.conn.write(head) {
		return
	}
	a.markSent()
	a.requestSent = x.request.complete
	if !x.request.complete {
		x.request.streamed = true
		x.request.body = nil
		if x.caller != nil && !c.conn.full() {
			x.caller.resume()
		}
	}
}

func appendBody(head, body []byte, chunked bool) []byte {
	if !chunked {
		return append(head, body...)
	}
	b := bytes.NewBuffer(head)
	writeChunk(b, body)
	return b.Bytes()
}

// markSent records that the request may run from now on.
func (a *attempt) markSent() {
	x := a.exchange
	a.sent = true
	x.runs++
	x.reached.add(a.place())
	x.forwarder.common.Checker.Assert(x.idempotent || x.runs == 1, checker.AtMostOnce, "call %x sent %d times", x.id, x.runs)
}

// markNotRun reverts markSent once the request is known not to have run. It may be called twice, since both a refusal
// and the response to a claim may say so.
func (a *attempt) markNotRun() {
	if a.knownNotRun {
		return
	}
	a.knownNotRun = true
	x := a.exchange
	x.runs--
	if !a.local() {
		// The node refused the call before its upstream saw it, unless its reason is reasonUpstreamRefused.
		x.reached.remove(a.place())
	}
	x.forwarder.common.Checker.Assert(x.runs >= 0, checker.AtMostOnce, "call %x marked as not run more often than sent", x.id)
}

// isStreaming reports whether further parts of the request's body can be sent as they arrive.
func (a *attempt) isStreaming() bool {
	return a.kind == kindCall && a.sent && !a.requestSent && !a.ended
}

func (a *attempt) sendBody(data []byte) {
	x := a.exchange
	if x.request.message.length < 0 {
		var b bytes.Buffer
		writeChunk(&b, data)
		data = b.Bytes()
	}
	a.conn.conn.write(data)
	if !a.ended && a.conn.conn.full() && x.caller != nil {
		x.caller.conn.pause()
	}
}

func (a *attempt) endBody() {
	a.requestSent = true
	if a.exchange.request.message.length < 0 {
		a.conn.conn.write([]byte(lastChunk))
	}
}

// requestDrained resumes reading from a paused caller.
func (a *attempt) requestDrained() {
	if caller := a.exchange.caller; caller != nil {
		caller.resume()
	}
}

// onInterim counts an interim response, and returns an error if there are too many. A 102 response reports progress.
func (a *attempt) onInterim(m *message) error {
	now := time.Now()
	if m.status == 102 {
		a.lastProgressAt = now
	}
	a.interimCount++
	if a.interimCount > interimBurst+int(now.Sub(a.began)/interimInterval) {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "too many interim responses"}
	}
	return nil
}

// recordLoadReport records the load that a node reports in its responses.
func (a *attempt) recordLoadReport(m *message) {
	r, ok := parseLoadReport(m.get(headerLoad))
	if !ok {
		return
	}
	now := time.Now()
	l := a.endpoint.Load
	l.RecordReport(r.load, r.service, now)
	slots := max(int(a.endpoint.Slots), 1)
	if r.window > 0 {
		l.RecordWindow(r.window)
		slots = min(slots, r.window)
	}
	a.recordRoomReport(m, r.load, slots, now)
	if route := a.exchange.route; route != nil && r.service > 0 && r.kindService > 0 {
		a.exchange.forwarder.callWeights.record(route.Name, float64(r.kindService)/float64(r.service))
	}
}

// isStale reports whether the response of the local upstream belongs to another request.
func (a *attempt) isStale(m *message) bool {
	return a.kind == kindCall && a.local() &&
		a.exchange.forwarder.config.Dialect.classify(m, a.exchange.requestID()) == responseStale
}

func (a *attempt) onResponseHead(m *message) {
	if a.ended {
		return
	}
	a.headSeen = true
	a.response = m
	if a.local() {
		a.responseClass = a.exchange.forwarder.config.Dialect.classify(m, a.exchange.requestID())
		a.observeCondition(m)
	}
	a.latency = time.Since(a.began)
	if a.endpoint != nil {
		a.recordLoadReport(m)
		a.observePeerCondition(m)
	}
	a.exchange.onResponseHead(a, m)
}

func (a *attempt) onResponseBody(data []byte) {
	x := a.exchange
	if a.ended {
		return
	}
	a.received += int64(len(data))
	if a.suppressed != nil {
		a.bufferFailure(data)
		return
	}
	x.lastByteAt = time.Now()
	if x.buffered != nil && x.buffer(data) {
		return
	}
	if x.writeBody(data) {
		a.conn.conn.pause()
	}
	if x.caller.disconnected() && !x.ended {
		x.cancelUnattended()
	}
}

func (a *attempt) onResponseEnd() {
	if !a.ended {
		a.exchange.onResponseEnd(a)
	}
}

// onLost is called when the connection closed before the response was complete. A suppressed response that this node has
// cut is handled like a complete one: what it leads to depends on its head.
func (a *attempt) onLost(err error) {
	switch {
	case a.ended:
	case a.responseCut && a.suppressed != nil:
		a.exchange.onResponseEnd(a)
	default:
		a.exchange.onAttemptLost(a, err)
	}
}

func (a *attempt) onDialFailed(err error) {
	if a.ended {
		return
	}
	a.exchange.onAttemptLost(a, err)
}

// cancel ends the attempt and closes its connection, so that a late response is discarded.
func (a *attempt) cancel() {
	if a.ended {
		return
	}
	a.finish()
	if a.conn != nil {
		a.conn.discard()
	}
	if a.endpoint != nil && a.kind == kindCall {
		a.endpoint.Load.Cancel()
	}
}

// finish ends the attempt. If it was local, it releases its slot and its reservation on the link.
func (a *attempt) finish() {
	a.ended = true
	if a.local() {
		a.exchange.forwarder.link.Release(a.reservedBytes)
		a.exchange.forwarder.releaseSlot()
	}
}
