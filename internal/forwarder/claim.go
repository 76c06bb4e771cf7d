package forwarder

import (
	"strconv"
	"time"
)

// maxClaims bounds the questions for the fate of one attempt.
const maxClaims = 3

// startClaim asks over a new connection what became of an attempt. The node fences the
// call if it has not arrived, waits while it runs, and gives the answer if there is one.
func (x *exchange) startClaim(a *attempt) {
	f := x.forwarder
	f.stats.Claims.Add(1)
	x.claims++
	x.claimed = a
	c := &attempt{exchange: x, kind: kindClaim, operation: operationClaim, id: a.id, endpoint: a.endpoint, fresh: true}
	x.claim = c
	f.pool(a.endpoint.PeerAddress, peerConnections).serve(c)
	if !x.ended {
		x.arm(time.Now())
	}
}

// claimHead takes the head of the answer to a claim.
func (x *exchange) claimHead(c *attempt, m *message) {
	if run := m.get(headerRun); run == runNo || run == runUnknown {
		c.swallowed = m
		return
	}
	x.claim = nil
	x.dropClaimed()
	x.attempt = c
	x.writeHead(m, true)
}

// dropClaimed ends the attempt that the claim was about.
func (x *exchange) dropClaimed() {
	if a := x.attempt; a != nil && a == x.claimed {
		x.attempt = nil
		a.drop()
	}
}

// claimEnd is called when the answer to a claim has been read whole.
func (x *exchange) claimEnd(c *attempt) {
	if x.claim == c {
		x.claim = nil
	}
	m := c.swallowed
	if m == nil {
		x.writeEnd("")
		return
	}
	if x.headSent {
		return
	}
	x.dropClaimed()
	if m.get(headerRun) == runNo {
		x.claimed.unsend()
		x.allowOwnerAgain(x.claimed)
		x.retryNotRun(m.get(headerRefusal))
		return
	}
	x.retryUnknown(m.get(headerRefusal))
}

// claimLost is called when a claim got no answer.
func (x *exchange) claimLost(c *attempt) {
	if x.claim == c {
		x.claim = nil
	}
	switch {
	case x.ended || x.attempt != nil:
	case x.headSent:
		x.cut()
	case x.idempotent:
		x.retryUnknown("node-lost")
	case x.claims < maxClaims:
		x.startClaim(x.claimed)
	default:
		x.refuse(502, "node-lost", runUnknown)
	}
}

// answerClaim tells another node what became of a call it sent here.
func (x *exchange) answerClaim() {
	f := x.forwarder
	if process := x.request.message.get(headerProcess); process != strconv.FormatUint(f.config.Process, 16) {
		// The process that took the call is gone, and what it did with the call is not known here.
		x.refuse(502, "process-gone", runUnknown)
		return
	}
	key := ledgerKey(x.id)
	e, known := f.ids.get(key)
	if known {
		x.waitFor(e)
		return
	}
	if f.ids.add(key, entryFenced, x.deadline.Add(idGrace)) == nil {
		x.refuse(503, "too-many-calls", runUnknown)
		return
	}
	x.refuse(409, "fenced", runNo)
}

// waitFor answers from a remembered call, now or when it ends.
func (x *exchange) waitFor(e *ledgerEntry) {
	if e.state != entryRunning {
		x.answerFrom(e)
		return
	}
	e.waiting = append(e.waiting, x)
	x.caller.conn.write([]byte("HTTP/1.1 102 Processing\r\n\r\n"))
}

// answerFrom answers from a remembered call that has ended.
func (x *exchange) answerFrom(e *ledgerEntry) {
	switch {
	case x.ended:
	case e.state == entryFenced || e.outcome == runNo:
		x.refuse(409, "fenced", runNo)
	case e.answer != nil:
		x.replay(e.answer)
	default:
		x.refuse(502, "answer-lost", runUnknown)
	}
}

// refuseKnown refuses a request whose id was seen before.
func (x *exchange) refuseKnown(e *ledgerEntry) {
	if e.state == entryFenced {
		x.refuse(409, "fenced", runNo)
		return
	}
	x.refuse(409, "duplicate", runUnknown)
}
