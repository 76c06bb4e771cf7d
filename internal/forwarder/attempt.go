package forwarder

import (
	"bytes"
	"fmt"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
)

// Operations between nodes.
const (
	operationCall    = "call"
	operationClaim   = "claim"
	operationOwn     = "own"
	operationReserve = "reserve"
)

// attemptKind tells what an attempt carries.
type attemptKind int

const (
	// kindCall carries the request itself.
	kindCall attemptKind = iota
	// kindClaim asks for the fate of another attempt.
	kindClaim
	// kindReserve reserves an idempotency key.
	kindReserve
)

const (
	// maxInterims bounds the interim answers that come at once, and interimPause is the time in which one more may come.
	interimBurst    = 32
	interimInterval = 50 * time.Millisecond
)

// attempt is one try at an upstream or node.
type attempt struct {
	exchange *exchange
	kind     attemptKind
	// operation is what a node is asked for; it is empty towards an upstream.
	operation string
	id        uint64
	// endpoint is the upstream's node, or nil for the upstream beside this node.
	endpoint *balancer.Endpoint
	pool     *pool
	conn     *clientConn
	// fresh asks for a new connection.
	fresh bool
	began time.Time
	// sent tells that a byte of the request may have left this node.
	sent bool
	// takenBack tells that the request is known not to have run.
	knownNotRun bool
	// requestSent tells that the whole request has been written.
	requestSent bool
	// interims counts the interim answers.
	interimCount int
	headSeen     bool
	answer       *message
	latency      time.Duration
	// heardAt is when the request was sent or the node last gave a sign of life.
	heardAt time.Time
	// swallowed is an answer that is read but not forwarded.
	swallowed *message
	// verdict tells what the answer of the local upstream means.
	verdict answerVerdict
	// promised is the answer's expected length, for which the link has been asked.
	expectedBytes float64
	// received counts the answer's bytes.
	received int64
	ended    bool
}

func (a *attempt) local() bool { return a.endpoint == nil }

// connected sends the request over a connection.
func (a *attempt) connected(c *clientConn) {
	x := a.exchange
	a.conn = c
	c.attempt = a
	a.began = time.Now()
	a.heardAt = a.began
	head := a.requestHead()
	if a.kind != kindCall {
		a.requestSent = true
		a.sent = c.conn.write(head)
		return
	}
	// A connection that fails here has taken nothing; lost then sees sent as false.
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

// markSent notes that the request may run from now on.
func (a *attempt) markSent() {
	x := a.exchange
	a.sent = true
	x.runs++
	x.arrivals++
	x.forwarder.common.Checker.Assert(x.idempotent || x.runs == 1, checker.AtMostOnce, "call %x sent %d times", x.id, x.runs)
}

// unsend takes markSent back, once it is known that the request did not run. A refusal and the
// answer to a claim may both say so.
func (a *attempt) unsend() {
	if a.knownNotRun {
		return
	}
	a.knownNotRun = true
	x := a.exchange
	x.runs--
	if !a.local() {
		// The node has refused the call before its upstream saw it, unless it says otherwise.
		x.arrivals--
	}
	x.forwarder.common.Checker.Assert(x.runs >= 0, checker.AtMostOnce, "call %x taken back more often than sent", x.id)
}

// streams tells that more of the request's body can be sent as it comes.
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

// requestDrained lets a paused caller go on.
func (a *attempt) requestDrained() {
	if caller := a.exchange.caller; caller != nil {
		caller.resume()
	}
}

func (a *attempt) interim(m *message) error {
	now := time.Now()
	if m.status == 102 {
		a.heardAt = now
	}
	a.interimCount++
	if a.interimCount > interimBurst+int(now.Sub(a.began)/interimInterval) {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "interim answers without end"}
	}
	return nil
}

// takeHint notes the load that a node tells with its answers.
func (a *attempt) recordLoadHint(m *message) {
	var load int
	var serviceMs float64
	if _, err := fmt.Sscanf(m.get(headerLoad), "%d %f", &load, &serviceMs); err == nil && load >= 0 && serviceMs >= 0 {
		a.endpoint.Load.Hint(load, time.Duration(serviceMs*float64(time.Millisecond)), time.Now())
	}
}

// isForeign tells whether the answer of the local upstream belongs to another request.
func (a *attempt) isForeign(m *message) bool {
	return a.kind == kindCall && a.local() && a.exchange.forwarder.config.Dialect.judge(m, a.exchange.requestID()) == answerForeign
}

func (a *attempt) answerHead(m *message) {
	if a.ended {
		return
	}
	a.headSeen = true
	a.answer = m
	if a.local() {
		a.verdict = a.exchange.forwarder.config.Dialect.judge(m, a.exchange.requestID())
	}
	a.latency = time.Since(a.began)
	if a.endpoint != nil {
		a.recordLoadHint(m)
	}
	a.exchange.answerHead(a, m)
}

func (a *attempt) answerBody(data []byte) {
	x := a.exchange
	if a.ended {
		return
	}
	a.received += int64(len(data))
	if a.swallowed != nil {
		x.keepFallback(a, data)
		return
	}
	x.lastByte = time.Now()
	if x.held != nil && x.buffer(data) {
		return
	}
	if x.writeBody(data) {
		a.conn.conn.pause()
	}
}

func (a *attempt) answerEnd() {
	if !a.ended {
		a.exchange.answerEnd(a)
	}
}

// lost is called when the connection ended before the answer did.
func (a *attempt) lost(err error) {
	if a.ended {
		return
	}
	a.exchange.attemptLost(a, err)
}

func (a *attempt) dialFailed(err error) {
	if a.ended {
		return
	}
	a.exchange.attemptLost(a, err)
}

// drop ends the attempt from this side. A late answer is dropped with its connection.
func (a *attempt) drop() {
	if a.ended {
		return
	}
	a.finish()
	if a.conn != nil {
		a.conn.drop()
	}
	if a.endpoint != nil && a.kind == kindCall {
		a.endpoint.Load.Cancel()
	}
}

// finish ends the attempt and gives its slot back.
func (a *attempt) finish() {
	a.ended = true
	if a.local() {
		a.exchange.forwarder.link.Settle(a.expectedBytes)
		a.exchange.forwarder.releaseSlot()
	}
}
