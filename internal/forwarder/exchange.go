package forwarder

import (
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// request is a call's request as far as it has been read.
type request struct {
	message *message
	// body is what has been read and not been streamed on.
	body []byte
	// complete tells that the whole body has been read.
	complete bool
	// streamed tells that a part of the body is gone, so that the request can't be sent again.
	streamed bool
}

// exchange is one call on one node, from its request to the end of its answer.
type exchange struct {
	forwarder *Forwarder
	// caller is nil once the caller's connection has ended.
	caller  *serverConn
	request request

	view  *router.Snapshot
	route *schema.Route
	// service takes the call; it is one of the route's.
	service     string
	operation   string
	id          uint64
	key         string
	version     string
	fingerprint uint64
	rank        int
	idempotent  bool
	startedAt   time.Time
	deadline    time.Time
	// aimAt is when an answer becomes late for the caller; zero if that is not known.
	aimAt time.Time
	// progressAt is when a sign of life was last sent.
	progressAt time.Time
	// mayWait tells whether the call may wait for a slot beside the upstream that was chosen.
	mayWait bool
	// busy are the nodes that had no free slot for the call.
	busyNodes map[string]bool
	timer     *time.Timer

	// bodyBytes counts the body as far as it is known; oversized tells that it is beyond the limit.
	bodyBytes int64
	oversized bool

	started bool
	// ended is set once; after it nothing is written for this call.
	ended    bool
	headSent bool
	// chunkedOut tells that the answer's body goes on in chunks.
	chunkedOut bool
	// closeAfter tells that the caller's connection ends with the answer.
	closeAfter bool
	lastByte   time.Time
	// output is what has been written of the answer and waits for its turn, or for the link if the answer is paced.
	output []byte
	// paced tells that the answer is long and goes out as the link takes it.
	paced bool
	// inEgress tells that the call is among those that wait for the link, with egressBytes of its output.
	inEgress    bool
	egressBytes int
	// cutAtTurn tells that the answer can't be completed: the connection ends when its turn comes.
	abortAtTurn bool

	// attempt is the try under way; claim asks for the fate of a silent or lost one.
	attempt *attempt
	claim   *attempt
	claims  int
	queued  bool
	tries   int
	// runs counts the attempts that may have run. A non-idempotent call has at most one.
	runs  int
	tried map[string]bool
	// arrivals counts the attempts that have reached an upstream, refused ones included.
	arrivals int
	// paidArrivals are the arrivals for which the retry budget has been drawn on. It is at most arrivals.
	chargedArrivals int
	// held is an answer that is gathered before it goes to the caller.
	held *bufferedAnswer
	// fallback is a failure of an upstream that is given to the caller if no other upstream takes the call.
	fallback *bufferedAnswer
	// lastNode is the node that the call was last sent to, in the zone lastZone.
	lastNode string
	lastZone string
	// lastRefusal is why the last try did not run.
	lastRefusal string
	// claimed is the attempt whose fate the claim asks for.
	claimed *attempt
	// freshConn asks for a new connection to the local upstream.
	freshConn bool

	// holders counts the other nodes that hold the call's key.
	holders int

	entry    *ledgerEntry
	keyEntry *ledgerEntry
	capture  *answer
}

func newExchange(s *serverConn, m *message) *exchange {
	x := &exchange{forwarder: s.forwarder, caller: s, request: request{message: m}}
	x.closeAfter = !m.keepAlive()
	return x
}

// countBody notes a part of the request's body. A call whose body is too long ends: what has been sent of it
// to an upstream may have run.
func (x *exchange) countBody(n int64) {
	if x.ended || x.oversized || x.caller.gone() || x.caller.fromPeer {
		return
	}
	x.bodyBytes += n
	if x.bodyBytes <= x.forwarder.callerLimits().bodyBytes {
		return
	}
	x.oversized = true
	x.closeAfter = true
	switch {
	case !x.started:
		x.caller.startNext()
	case x.headSent:
		x.cut()
	default:
		x.refuseOversized()
	}
}

func (x *exchange) refuseOversized() {
	run := runNo
	if x.runs > 0 {
		run = runUnknown
	}
	x.refuse(http.StatusRequestEntityTooLarge, "body-too-long", run)
}

// ready tells whether enough of the request has been read to start.
func (x *exchange) readyToStart() bool {
	return x.oversized || x.request.complete || x.request.message.length > gatherLimit || len(x.request.body) > gatherLimit
}

func (x *exchange) receiveBody(data []byte) {
	x.lastByte = time.Now()
	if a := x.attempt; a != nil && a.isStreaming() {
		x.request.streamed = true
		a.sendBody(data)
		return
	}
	x.request.body = append(x.request.body, data...)
	if x.started && len(x.request.body) > highWater {
		x.caller.conn.pause()
	}
	x.caller.startNext()
}

func (x *exchange) receiveEnd() {
	if a := x.attempt; a != nil && a.isStreaming() {
		a.endBody()
		return
	}
	x.caller.startNext()
}

func (x *exchange) setDeadline(t time.Time) {
	x.deadline = t
	x.arm(time.Now())
}

// arm sets the timer to the next moment at which something may be due.
func (x *exchange) arm(now time.Time) {
	next := x.nextCheck(now)
	wait := max(next.Sub(now), time.Millisecond)
	if x.timer == nil {
		x.timer = time.AfterFunc(wait, x.onTimer)
		return
	}
	x.timer.Reset(wait)
}

func (x *exchange) nextCheck(now time.Time) time.Time {
	settings := x.forwarder.common.Settings
	if x.headSent {
		return x.lastByte.Add(settings.BodyIdleTimeout)
	}
	next := x.deadline
	if x.queued {
		next = x.lastStart()
	}
	if check := now.Add(x.forwarder.progressInterval()); (x.attempt != nil || x.operation == operationCall) && check.Before(next) {
		next = check
	}
	return next
}

func (x *exchange) onTimer() {
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.ended {
		return
	}
	now := time.Now()
	x.tellProgress(now)
	switch {
	case x.headSent && now.Sub(x.lastByte) >= f.common.Settings.BodyIdleTimeout:
		x.cut()
	case !x.headSent && !now.Before(x.deadline):
		x.timeOut()
	case x.queued && !now.Before(x.lastStart()):
		x.retryNotRun("waited-in-vain")
	case !x.headSent:
		x.checkSilence(now)
	}
	if !x.ended {
		x.arm(now)
	}
}

// timeOut ends a call whose time is over.
func (x *exchange) timeOut() {
	run := runNo
	if x.runs > 0 || x.operation == operationClaim || x.operation == operationReserve {
		run = runUnknown
	}
	// Where nothing was sent the caller is told so also by the status, and may try again.
	status := http.StatusServiceUnavailable
	if run != runNo {
		status = http.StatusGatewayTimeout
	}
	x.dropAttempts()
	x.refuse(status, "deadline", run)
}

// abandon is called when the caller's connection has ended.
func (x *exchange) abandon() {
	x.caller = nil
	if x.ended || !x.started {
		x.ended = true
		return
	}
	if x.outlivesCaller() {
		return
	}
	x.forwarder.stats.Cancelled.Add(1)
	outcome := runNo
	if x.runs > 0 {
		outcome = runUnknown
	}
	x.dropAttempts()
	x.end(nil, outcome)
}

// answerMayBeAsked tells whether the call goes on without its caller, since its answer is kept for a
// node or a caller that asks for it later. A call that still waits for a slot does not go on.
func (x *exchange) outlivesCaller() bool {
	a := x.attempt
	return !x.idempotent && a != nil && a.sent && x.request.complete && (a.local() && x.entry != nil || x.key != "")
}

// dropAttempts ends whatever is under way for the call.
func (x *exchange) dropAttempts() {
	if x.queued {
		x.queued = false
		x.forwarder.admitter.Remove(x)
	}
	if x.attempt != nil {
		x.attempt.drop()
		x.attempt = nil
	}
	x.cancelClaim()
}

func (x *exchange) cancelClaim() {
	if x.claim != nil {
		x.claim.drop()
		x.claim = nil
	}
}

// end closes the call. The outcome is empty for an upstream's own answer, else runNo or runUnknown.
func (x *exchange) end(a *answer, outcome string) {
	if x.ended {
		return
	}
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	f := x.forwarder
	delete(f.calls, x)
	if x.entry != nil {
		f.ids.finish(x.entry, a, outcome)
	}
	if x.keyEntry != nil {
		f.keys.finish(x.keyEntry, a, outcome)
	}
	if x.caller != nil {
		if !x.request.complete {
			// The rest of the body is read and dropped.
			x.caller.resume()
		}
		x.caller.finish(x)
	}
}

// cut ends a call whose answer can't be completed: its connection ends, so that
// what was written can't be taken for the whole answer.
func (x *exchange) cut() {
	x.forwarder.stats.Cut.Add(1)
	x.dropAttempts()
	if x.caller != nil && !x.hasTurn() {
		x.output = nil
		x.abortAtTurn = true
		x.end(nil, runUnknown)
		return
	}
	caller := x.caller
	x.caller = nil
	x.end(nil, runUnknown)
	if caller != nil {
		caller.conn.closeWith(&Error{Operation: "answer", Kind: KindCut, Detail: "upstream's answer was cut"})
	}
}
