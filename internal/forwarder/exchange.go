package forwarder

import (
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// request is the part of a call's request that has been read so far.
type request struct {
	message *message
	// body holds the bytes that have been read but not streamed on.
	body []byte
	// complete reports whether the whole body has been read.
	complete bool
	// streamed reports whether a part of the body was sent and not kept, so that the request can't be sent again.
	streamed bool
}

// exchange is one call on one node, from the head of its request to the end of its response. Forwarder.mu guards it.
//
// It waits in its connection's queue until start is called, makes one attempt at a time, and ends with end.
type exchange struct {
	forwarder *Forwarder
	// caller is nil once the caller's connection has closed.
	caller  *serverConn
	request request

	// snapshot is the routing snapshot that was in force when the call started.
	snapshot *router.Snapshot
	route    *schema.Route
	// service is the service that the call goes to, one of the route's.
	service string
	// operation is what the sending node asks for; it is empty if the call entered the mesh here.
	operation string
	// id is the sending node's ID of the attempt; it is zero if the call entered the mesh here.
	id uint64
	// customer is the customer that makes the call, or nil if it is not known.
	customer *schema.Customer
	// tokenTaken reports whether a token of the customer's quota was taken for the call and not given back.
	tokenTaken bool
	// quotaRetryAfter is how long a caller over its quota should wait.
	quotaRetryAfter time.Duration
	// key is the idempotency key, or empty.
	key string
	// version is the upstream version that was chosen, by this node or by the sending one.
	version     string
	fingerprint uint64
	// rank is the priority of the customer and the route's class; 0 is the highest.
	rank       int
	idempotent bool
	startedAt  time.Time
	deadline   time.Time
	// endsWithNode reports whether the deadline is earlier than the caller's because this node is leaving.
	endsWithNode bool
	// targetAt is the call's latency target: a later response counts as late. It is zero if the route has none.
	targetAt time.Time
	// usedBefore is how much time the caller has used up in earlier attempts. Unless usedBeforeKnown is set, it may be a caller
	// that begins with a limit below the route's timeout.
	usedBefore      time.Duration
	usedBeforeKnown bool
	// progressSentAt is when an interim response was last sent to show that the call is still in progress.
	progressSentAt time.Time
	// upstreamSuspected is set once the local upstream has been silent for so long that no progress is reported any more.
	upstreamSuspected bool
	// mayQueue reports whether the call may queue for a slot at the chosen upstream's node.
	mayQueue bool
	// busyOffers holds the offers to nodes that had no free slot for the call.
	busyOffers set[offer]
	timer      *time.Timer

	// bodyBytes is the body's length as far as it is known; oversized reports whether it is above the limit.
	bodyBytes int64
	oversized bool

	started bool
	// ended is set once; nothing is written for the call after that.
	ended    bool
	headSent bool
	// chunkedResponse reports whether the response's body is sent to the caller in chunks.
	chunkedResponse bool
	// closeAfter reports whether the caller's connection is closed after the response. On a draining node, this is decided
	// when the response's head is sent: the last response on the connection closes it.
	closeAfter bool
	// lastByteAt is when a part of either body was last transferred.
	lastByteAt time.Time
	// output holds bytes of the response that wait for the responses before it on the connection, or for the link
	// if the response is paced.
	output []byte
	// paced reports whether the response is long and is sent at the link's rate.
	paced bool
	// inEgress reports whether the call waits in egress; egressBytes is how much of its output is counted there.
	inEgress    bool
	egressBytes int
	// abortWhenNext reports whether the response can't be completed, so that the connection is closed once the call is
	// next on it.
	abortWhenNext bool

	// attempt is the attempt in progress; claim asks for the outcome of one that is silent or lost.
	attempt *attempt
	claim   *attempt
	claims  int
	// queued reports whether the call waits in the admitter's queue for a slot at the local upstream.
	queued bool
	// tries counts the nodes that the call was offered to, slotRefusals those that had no free slot for it, and
	// queueRefusals those whose queue did not take it.
	tries         int
	slotRefusals  int
	queueRefusals int
	// runs counts the attempts that may have run. A non-idempotent call has at most one.
	runs int
	// tried holds the offers that must not be made again.
	tried set[offer]
	// askedOwners and askedReservers hold the places of the nodes that must not be asked again to own or to reserve the
	// call's key.
	askedOwners    set[place]
	askedReservers set[place]
	// reached holds the places whose upstream may have seen the call, refusals by the upstream itself included. The call is
	// sent to each of them once.
	reached set[place]
	// chargedArrivals counts the places in reached that the retry budget has been charged for.
	chargedArrivals int
	// buffered is a response that is buffered before it is sent to the caller.
	buffered *bufferedResponse
	// fallback is a complete failure response of an upstream. It is sent to the caller if no other upstream takes the
	// call.
	fallback *bufferedResponse
	// lastNode is the node that the call was last offered to, lastZone that node's availability zone, and lastOffer the offer.
	lastNode  string
	lastZone  string
	lastOffer offer
	// lastRefusal is the reason why the last try did not run.
	lastRefusal string
	// claimedAttempt is the attempt that claim asks about.
	claimedAttempt *attempt

	// reservations counts the other nodes that have reserved the call's key.
	reservations int

	// entry remembers a call of another node by its ID, and keyEntry a keyed call by its key.
	entry    *dedupEntry
	keyEntry *dedupEntry
	// saved is the copy of the response that is kept in those entries.
	saved *savedResponse
}

func newExchange(s *serverConn, m *message) *exchange {
	x := &exchange{forwarder: s.forwarder, caller: s, request: request{message: m}}
	x.closeAfter = !m.keepAlive()
	return x
}

// countBody counts a part of the request's body against the caller's limit. A call above it is refused or aborted;
// it may have run if a part of it was sent to an upstream.
func (x *exchange) countBody(n int64) {
	if x.ended || x.oversized || x.caller.disconnected() || x.caller.fromPeer {
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
		x.caller.startReady()
	case x.headSent:
		x.abort()
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

// readyToStart reports whether enough of the request has been read to start.
func (x *exchange) readyToStart() bool {
	return x.oversized || x.request.complete || x.request.message.length > maxBufferedBodyBytes ||
		len(x.request.body) > maxBufferedBodyBytes
}

func (x *exchange) receiveBody(data []byte) {
	x.lastByteAt = time.Now()
	if a := x.attempt; a != nil && a.isStreaming() {
		x.request.streamed = true
		a.sendBody(data)
		return
	}
	x.request.body = append(x.request.body, data...)
	if x.started && len(x.request.body) > highWaterBytes {
		x.caller.conn.pause()
	}
	x.caller.startReady()
}

func (x *exchange) receiveEnd() {
	if a := x.attempt; a != nil && a.isStreaming() {
		a.endBody()
		return
	}
	x.caller.startReady()
}

func (x *exchange) setDeadline(t time.Time) {
	x.deadline = t
	x.arm(time.Now())
}

// abandon is called when the caller's connection has closed.
func (x *exchange) abandon() {
	x.caller = nil
	if x.ended || !x.started {
		x.ended = true
		return
	}
	x.cancelUnattended()
}

// cancelUnattended ends a call that has no caller, unless it continues without one.
func (x *exchange) cancelUnattended() {
	if x.outlivesCaller() {
		return
	}
	x.forwarder.stats.Cancelled.Add(1)
	outcome := runNo
	if x.runs > 0 {
		outcome = runUnknown
	}
	x.cancelAttempts()
	if outcome == runNo {
		x.returnToken()
	}
	x.end(nil, outcome)
}

// outlivesCaller reports whether the call continues without its caller, because its response is kept for a node or
// a caller that asks for it later. A call that still waits for a slot does not continue, nor does one whose response has
// begun and is not saved.
func (x *exchange) outlivesCaller() bool {
	a := x.attempt
	return !x.idempotent && a != nil && a.sent && x.request.complete && x.mayKeepResponse() &&
		(a.local() && x.entry != nil || x.key != "")
}

// mayKeepResponse reports whether the response has not begun, or is being saved.
func (x *exchange) mayKeepResponse() bool {
	return !x.headSent || x.saved != nil && !x.saved.bodyOmitted
}

// cancelAttempts cancels the attempt and the claim in progress and leaves the admitter's queue.
func (x *exchange) cancelAttempts() {
	if x.queued {
		x.queued = false
		x.forwarder.admitter.Remove(x)
	}
	if x.attempt != nil {
		x.attempt.cancel()
		x.attempt = nil
	}
	x.cancelClaim()
}

func (x *exchange) cancelClaim() {
	if x.claim != nil {
		x.claim.cancel()
		x.claim = nil
	}
}

// end ends the call, once, and passes its response to those that wait for it in the dedup tables. The outcome is empty
// for an upstream's own response, else runNo or runUnknown.
func (x *exchange) end(r *savedResponse, outcome string) {
	if x.ended {
		return
	}
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	f := x.forwarder
	delete(f.calls, x)
	x.recordRoom(outcome)
	if x.entry != nil {
		f.ids.finish(x.entry, r, outcome)
	}
	if x.keyEntry != nil {
		f.keys.finish(x.keyEntry, r, outcome)
	}
	if x.caller != nil {
		if !x.request.complete {
			// The rest of the body is read and discarded.
			x.caller.resume()
		}
		x.caller.finish(x)
	}
}

// abort ends a call whose response can't be completed. It closes the caller's connection, so that the part already
// written can't be mistaken for the whole response.
func (x *exchange) abort() {
	x.forwarder.stats.Cut.Add(1)
	x.cancelAttempts()
	if x.caller != nil && !x.isNext() {
		x.output = nil
		x.abortWhenNext = true
		x.end(nil, runUnknown)
		return
	}
	caller := x.caller
	x.caller = nil
	x.end(nil, runUnknown)
	if caller != nil {
		caller.conn.closeWith(&Error{Operation: "answer", Kind: KindCut, Detail: "response ended before it was complete"})
	}
}
