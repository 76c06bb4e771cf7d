package forwarder

import (
	"time"
)

// silentServices is how many service times of a call's kind an upstream may take before its connection is suspected.
// Single calls may take far longer than the mean.
const silentServices = 12

// progressPart of the silence that is suspicious passes between two signs of life from the node that has a call.
const progressPart = 3

// progressInterval is how often a node that has a call of another one tells that it still works on it.
func (f *Forwarder) progressInterval() time.Duration {
	return f.common.Settings.SilenceAfter / progressPart
}

// tellProgress sends a sign of life to the node that waits for the answer.
func (x *exchange) tellProgress(now time.Time) {
	if x.operation != operationCall || x.caller.gone() || x.headSent || now.Sub(x.progressAt) < x.forwarder.progressInterval() {
		return
	}
	x.progressAt = now
	x.caller.conn.write([]byte("HTTP/1.1 102 Processing\r\n\r\n"))
}

// checkSilence looks after an attempt that has given no sign of life for a while.
func (x *exchange) checkSilence(now time.Time) {
	a := x.attempt
	if a == nil || !a.sent || !a.requestSent || a.headSeen {
		return
	}
	if a.local() {
		x.checkUpstreamSilence(a, now)
		return
	}
	if now.Sub(a.heardAt) < x.forwarder.common.Settings.SilenceAfter {
		return
	}
	switch {
	case a.kind == kindReserve:
		x.dropAttempts()
		x.reserve()
	case x.idempotent && x.hasAlternative() && x.forwarder.leaveBy.IsZero():
		// The node is frozen or cut off, or the connection is.
		a.endpoint.Load.NoteFailure(now)
		x.dropAttempts()
		x.retryUnknown("node-silent")
	case x.idempotent:
		// Its answer may still come. There is nothing better to wait for, or this node leaves: then the call is not taken
		// from an upstream that may be at work on it.
	case x.claim == nil && x.claims < maxClaims:
		x.startClaim(a)
	}
}

// checkUpstreamSilence sends an idempotent call again over a new connection
// once the upstream has answered other calls since.
func (x *exchange) checkUpstreamSilence(a *attempt, now time.Time) {
	f := x.forwarder
	silence := max(f.common.Settings.SilenceAfter, silentServices*f.admitter.ServiceTimeOf(x.route.Name))
	if now.Sub(a.began) < silence {
		return
	}
	if !x.idempotent || !a.conn.reused || x.arrivals >= x.attempts() || !x.replayable() || !f.local.lastAnswer.After(a.began) {
		return
	}
	f.stats.Retries.Add(1)
	x.freshConn = true
	x.dropAttempts()
	x.enterLocal()
}
