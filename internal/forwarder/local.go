package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// upstreamRest is how long a connection to the upstream rests after an answer. HTTP/1.1 answers carry no
// name of their request: a second answer that comes after the connection has been used again can't be told apart.
const upstreamReuseDelay = 10 * time.Millisecond

// localState is the upstream beside this node.
type localState struct {
	// upstream is nil while none is announced.
	upstream *router.Local
	// lastAnswer is when the upstream last answered any call.
	lastAnswer time.Time
	// downUntil is the end of the time for which an unreachable upstream is left alone.
	unreachableUntil time.Time
}

// updateLocal takes over the upstream and the queue limits of a new view.
func (f *Forwarder) updateLocal(view *router.Snapshot) {
	f.local.upstream = view.Local
	queueLength := int(view.Preset.GetQueueLength())
	if queueLength == 0 {
		queueLength = defaultQueueLength
	}
	if view.Local == nil || view.Local.Draining {
		f.admitter.SetLimits(0, queueLength)
		f.refuseQueued()
		return
	}
	f.admitter.SetLimits(view.Local.Slots, queueLength)
	f.serveQueue()
}

// refuseQueued refuses the waiting calls, which have not run, so that others can take them.
func (f *Forwarder) refuseQueued() {
	for x := range f.calls {
		if x.queued {
			x.queued = false
			f.admitter.Remove(x)
			x.retryNotRun("leaving")
		}
	}
}

// enterLocal asks for a slot at the upstream beside this node.
func (x *exchange) enterLocal() {
	f := x.forwarder
	l := f.local.upstream
	if !f.local.reachable(time.Now()) || l.Service != x.service || x.version != "" && l.Version != x.version {
		x.retryNotRun("leaving")
		return
	}
	now, claim := time.Now(), x.slotClaim()
	if !f.linkAdmits(x, claim, now) {
		x.refuseSlot()
		return
	}
	verdict, evicted, hasEvicted := f.admitter.Enter(x, claim, now)
	if hasEvicted {
		evicted.queued = false
		evicted.retryNotRun(reasonQueueFull)
	}
	switch verdict {
	case admitter.Granted:
		x.sendLocal()
	case admitter.Queued:
		x.queued = true
		x.arm(time.Now())
	case admitter.Refused:
		x.refuseSlot()
	}
}

// refuseSlot sends the call elsewhere, or tells the node that sent it to do so.
func (x *exchange) refuseSlot() {
	if x.mayWait {
		x.retryNotRun(reasonQueueFull)
		return
	}
	x.retryNotRun(reasonBusy)
}

// linkAdmits tells whether the VM's link can carry the answer in time.
func (f *Forwarder) linkAdmits(x *exchange, c admitter.Claim, now time.Time) bool {
	bytes := f.answerBytes[x.route.Name]
	return bytes < longAnswerBytes || f.link.Admits(c, bytes, f.admitter.ServiceTimeOf(x.route.Name), now)
}

// longAnswerBytes is the mean length from which answers must ask for room on the link. Short ones are carried between them.
const longAnswerBytes = 16 << 10

// Reasons for which a call gets no slot.
const (
	// reasonBusy tells that no slot is free for a call that may not wait.
	reasonBusy = "busy"
	// reasonQueueFull tells that the call would wait too long.
	reasonQueueFull = "queue-full"
)

// slotClaim is what the call asks of the admitter.
func (x *exchange) slotClaim() admitter.Claim {
	return admitter.Claim{Rank: x.rank, Kind: x.route.Name, MayWait: x.mayWait, Aim: x.aimAt, Deadline: x.deadline}
}

// lastStart is when the call must have a slot to be answered before its deadline.
func (x *exchange) lastStart() time.Time { return x.forwarder.admitter.LastStart(x.slotClaim()) }

// noteService takes in the time of a call at the upstream. What it took in a cold start is reduced to
// what it would have taken after it.
func (f *Forwarder) noteServiceTime(kind string, d time.Duration, now time.Time) {
	if l := f.local.upstream; l != nil && now.Before(l.WarmAt) {
		d /= balancer.ColdFactor
	}
	f.admitter.NoteService(kind, d)
}

// localLoad returns the calls that run or wait beside this node's upstream, and the mean time of one.
func (f *Forwarder) localLoad() (load int, service time.Duration) {
	return f.admitter.InFlight() + f.admitter.Queued(), f.admitter.ServiceTime()
}

// sendLocal sends the call to the upstream. The call holds a slot.
func (x *exchange) sendLocal() {
	f := x.forwarder
	l := f.local.upstream
	f.common.Checker.Assert(!l.Draining, checker.NoWorkToLeaving, "call %x sent to a draining upstream", x.id)
	a := &attempt{exchange: x, kind: kindCall, fresh: x.freshConn, expectedBytes: f.answerBytes[x.route.Name]}
	f.link.Promise(a.expectedBytes)
	x.attempt = a
	p := f.pool(l.Address, l.Connections)
	p.rest = upstreamReuseDelay
	p.serve(a)
	if x.attempt == a {
		x.arm(time.Now())
	}
}

// releaseSlot gives a slot back and lets the next calls have it.
func (f *Forwarder) releaseSlot() {
	f.admitter.Release()
	f.serveQueue()
}

func (f *Forwarder) serveQueue() {
	for {
		x, ok := f.admitter.Next()
		if !ok {
			return
		}
		x.queued = false
		if !f.local.reachable(time.Now()) {
			f.admitter.Release()
			x.retryNotRun("leaving")
			continue
		}
		x.sendLocal()
	}
}

// downTime is how long an upstream that can't be reached is left alone, unless it announces itself before.
const unreachableBackoff = 500 * time.Millisecond

// noteUnreachable leaves the upstream alone for a while after a connection to it could not be opened:
// what waits for it goes elsewhere.
func (f *Forwarder) noteUnreachable() {
	f.local.unreachableUntil = time.Now().Add(unreachableBackoff)
	f.refuseQueued()
}

// noteRefused gives the upstream time after it has refused a call for want of room.
func (f *Forwarder) countRefused(a *attempt) {
	f.stats.UpstreamRefused.Add(1)
	f.common.Logger.Debug("upstream refused", "request", a.exchange.requestID(), "status", a.answer.status)
}

// reachable tells whether the upstream beside this node may get new work.
func (l *localState) reachable(now time.Time) bool {
	return l.upstream != nil && !l.upstream.Draining && !now.Before(l.unreachableUntil)
}
