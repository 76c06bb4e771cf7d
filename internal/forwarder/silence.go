package forwarder

import (
	"time"
)

// silentServices is how many service times an upstream may take before its connection is suspected.
const silentServices = 5

// checkSilence looks after an attempt that has given no answer for a while.
func (x *exchange) checkSilence(now time.Time) {
	a := x.attempt
	if a == nil || !a.sent || !a.requestSent || a.headSeen {
		return
	}
	silence := x.forwarder.common.Settings.SilenceAfter
	if a.local() {
		silence = max(silence, silentServices*x.forwarder.admitter.ServiceTime())
	}
	if now.Sub(a.began) < silence {
		return
	}
	if a.kind == kindReserve {
		x.dropAttempts()
		x.reserve()
		return
	}
	if a.local() {
		x.checkUpstreamSilence(a)
		return
	}
	switch c := x.claim; {
	case c == nil && x.claims < maxClaims:
		x.startClaim(a)
	case c != nil && !c.parked && x.idempotent && now.Sub(a.began) >= silence+silence/2:
		// The node answers on no connection: it is frozen or cut off.
		a.endpoint.Load.NoteFailure(now)
		x.dropAttempts()
		x.retryUnknown("node-silent")
	}
}

// checkUpstreamSilence sends an idempotent call again over a new connection
// once the upstream has answered other calls since.
func (x *exchange) checkUpstreamSilence(a *attempt) {
	f := x.forwarder
	if !x.idempotent || !a.conn.reused || x.arrivals >= x.attempts() || !x.replayable() || !f.local.lastAnswer.After(a.began) {
		return
	}
	f.stats.Retries.Add(1)
	x.freshConn = true
	x.dropAttempts()
	x.enterLocal()
}
