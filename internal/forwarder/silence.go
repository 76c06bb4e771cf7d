package forwarder

import (
	"time"
)

// silenceServiceTimes is how many mean service times of the call's route an upstream may take before its connection is
// suspected. It is high because single calls may take far longer than the mean.
const silenceServiceTimes = 12

// progressPerSilence is how many progress responses a node sends per SilenceAfter.
const progressPerSilence = 3

// progressInterval is the time between two progress responses for a call that another node sent here.
func (f *Forwarder) progressInterval() time.Duration {
	return f.common.Settings.SilenceAfter / progressPerSilence
}

// sendProgress sends a progress response, an interim response with status 102, to the node that waits for the response.
// It does nothing if none is due, or if the upstream is suspected.
func (x *exchange) sendProgress(now time.Time) {
	if x.operation != operationCall || x.upstreamSuspected || x.caller.disconnected() || x.headSent ||
		now.Sub(x.progressSentAt) < x.forwarder.progressInterval() {
		return
	}
	x.progressSentAt = now
	x.caller.conn.write([]byte("HTTP/1.1 102 Processing\r\n\r\n"))
}

// checkSilence acts on an attempt whose request has been sent completely but not answered: at the local upstream by
// checkUpstreamSilence, at another node if that has sent no progress response for SilenceAfter.
func (x *exchange) checkSilence(now time.Time) {
	a := x.attempt
	if a == nil || !a.sent || !a.requestSent || a.headSeen {
		return
	}
	if a.local() {
		x.checkUpstreamSilence(a, now)
		return
	}
	if now.Sub(a.lastProgressAt) < x.forwarder.common.Settings.SilenceAfter {
		return
	}
	switch {
	case a.kind == kindReserve:
		x.cancelAttempts()
		x.reserveNext()
	case x.idempotent && x.hasAlternative() && x.forwarder.leaveDeadline.IsZero():
		// The node may be frozen or partitioned, or the connection broken.
		a.endpoint.Load.RecordFailure(now)
		x.cancelAttempts()
		x.retryUnknown("node-silent")
	case x.idempotent:
		// The response may still come, so the call keeps waiting: either no other upstream can take it, or this node is
		// leaving, and then a call is not taken away from an upstream that may be processing it.
	case x.claim == nil && x.claims < maxClaims:
		x.startClaim(a)
	}
}

// checkUpstreamSilence suspects the connection of an idempotent call if the local upstream has not answered the call for long,
// but has answered other calls since it was sent. Another upstream then takes the call, if there is one; this one is not sent
// it again, since it may still run it. A node that has the call from another node does not know whether there is one: it
// sends no more progress responses, so that the other node decides.
func (x *exchange) checkUpstreamSilence(a *attempt, now time.Time) {
	f := x.forwarder
	silence := max(f.common.Settings.SilenceAfter, silenceServiceTimes*f.admitter.ServiceTimeOf(x.route.Name))
	if now.Sub(a.began) < silence {
		return
	}
	if !x.idempotent || !a.conn.reused || !f.local.lastResponseAt.After(a.began) || !f.leaveDeadline.IsZero() {
		return
	}
	switch {
	case !x.choosesUpstream():
		x.upstreamSuspected = true
	case x.hasAlternative():
		x.retryUnknown("upstream-silent", "silence", now.Sub(a.began))
	}
}
