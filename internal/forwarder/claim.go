package forwarder

import (
	"strconv"
	"time"
)

// maxClaims bounds the claims for one call. An attempt whose connection is lost is claimed once in any case.
const maxClaims = 3

// startClaim sends a claim: over a new connection, it asks the node that an attempt was sent to for the attempt's
// outcome. If the attempt has not arrived, the node fences it, so that it can't run later. If it is running, the node
// responds once it has finished. The response is that of the call, or a refusal that says whether it may have run.
func (x *exchange) startClaim(a *attempt) {
	f := x.forwarder
	f.stats.Claims.Add(1)
	x.claims++
	x.claimedAttempt = a
	c := &attempt{exchange: x, kind: kindClaim, operation: operationClaim, id: a.id, endpoint: a.endpoint, fresh: true}
	x.claim = c
	f.pool(a.endpoint.PeerAddress, peerConnections).assign(c)
	if !x.ended {
		x.arm(time.Now())
	}
}

// onClaimHead takes the head of the response to a claim. The upstream's response goes on to the caller; a refusal is
// kept for onClaimEnd.
func (x *exchange) onClaimHead(c *attempt, m *message) {
	if run := m.get(headerRun); run == runNo || run == runUnknown {
		c.suppressed = m
		return
	}
	x.claim = nil
	x.cancelClaimedAttempt()
	x.attempt = c
	x.writeHead(m, true)
}

// cancelClaimedAttempt cancels the claimed attempt if it is still in progress.
func (x *exchange) cancelClaimedAttempt() {
	if a := x.attempt; a != nil && a == x.claimedAttempt {
		x.attempt = nil
		a.cancel()
	}
}

// onClaimEnd is called when the response to a claim has been read completely.
func (x *exchange) onClaimEnd(c *attempt) {
	if x.claim == c {
		x.claim = nil
	}
	m := c.suppressed
	if m == nil {
		x.writeEnd("")
		return
	}
	if x.headSent {
		return
	}
	x.cancelClaimedAttempt()
	if m.get(headerRun) == runNo {
		x.claimedAttempt.markNotRun()
		x.allowOwnerRetry(x.claimedAttempt)
		x.retryNotRun(m.get(headerRefusal))
		return
	}
	x.retryUnknown(m.get(headerRefusal))
}

// onClaimLost is called when the connection of a claim failed before the response was complete.
func (x *exchange) onClaimLost(c *attempt) {
	if x.claim == c {
		x.claim = nil
	}
	switch {
	case x.ended || x.attempt != nil:
	case x.headSent:
		x.abort()
	case x.idempotent:
		x.retryUnknown("node-lost")
	case x.claims < maxClaims:
		x.startClaim(x.claimedAttempt)
	default:
		x.refuse(502, "node-lost", runUnknown)
	}
}

// handleClaim responds to another node's claim: with the outcome of the call that it sent here, now or when it is
// known, or by fencing the call if it has not arrived.
func (x *exchange) handleClaim() {
	f := x.forwarder
	if process := x.request.message.get(headerProcess); process != strconv.FormatUint(f.config.Process, 16) {
		// The call was sent to an earlier process at this address, which may have run it.
		x.refuse(502, "process-gone", runUnknown)
		return
	}
	key := idKey(x.id)
	e, known := f.ids.get(key)
	if known {
		x.respondWhenFinished(e)
		return
	}
	if f.ids.add(key, entryFenced, x.deadline.Add(idGrace)) == nil {
		x.refuse(503, "too-many-calls", runUnknown)
		return
	}
	x.refuse(409, "fenced", runNo)
}

// respondWhenFinished responds from a dedup table entry, now or once its call has finished. Until then an interim
// response shows the asking node that the call is running.
func (x *exchange) respondWhenFinished(e *dedupEntry) {
	if e.state != entryRunning {
		x.respondFrom(e)
		return
	}
	e.waiting = append(e.waiting, x)
	x.caller.conn.write([]byte("HTTP/1.1 102 Processing\r\n\r\n"))
}

// respondFrom responds from a dedup table entry whose call has finished or is fenced.
func (x *exchange) respondFrom(e *dedupEntry) {
	switch {
	case x.ended:
	case e.state == entryFenced || e.outcome == runNo:
		x.refuse(409, "fenced", runNo)
	case e.response != nil:
		x.replay(e.response)
	default:
		x.refuse(502, "answer-lost", runUnknown)
	}
}

// refuseDuplicate refuses a request whose ID is in the dedup table: it was fenced by a claim, or has arrived before.
func (x *exchange) refuseDuplicate(e *dedupEntry) {
	if e.state == entryFenced {
		x.refuse(409, "fenced", runNo)
		return
	}
	x.refuse(409, "duplicate", runUnknown)
}
