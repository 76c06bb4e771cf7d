package forwarder

import (
	"errors"
	"syscall"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/checker"
	"github.com/tamarackpitch/tamarackpitch/internal/pacer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// upstreamReuseDelay is how long a connection to the upstream is not reused after a response. HTTP/1.1 responses don't
// identify their request: a surplus second response that arrives after reuse would be taken for the next call's.
const upstreamReuseDelay = 10 * time.Millisecond

// localState is the state of the local upstream, the one beside this node.
type localState struct {
	// upstream is nil while no upstream has announced itself.
	upstream *router.Local
	// lastResponseAt is when the upstream last completed a response to any call.
	lastResponseAt time.Time
	// pacer limits the calls that run at the upstream at once, and pacedIncarnation is the upstream that it has observed.
	pacer            pacer.Pacer
	pacedIncarnation balancer.Incarnation
	// queueLength is how many calls may wait for the upstream.
	queueLength int
	// condition is what the upstream has stated about itself.
	condition localCondition
	// rateTimer serves the queue once the rate limit allows the first queued call.
	rateTimer *time.Timer
	// unreachableUntil is when an upstream that could not be connected to may get calls again.
	unreachableUntil time.Time
}

// lowerRankFloor is the share of an upstream's slots that customers and routes of lower priority get at least if they ask for
// it.
const lowerRankFloor = 0.2

// updateLocal applies the upstream and the queue limits of a new routing snapshot.
func (f *Forwarder) updateLocal(snapshot *router.Snapshot) {
	f.local.upstream = snapshot.LocalUpstream
	queueLength := int(snapshot.Preset.GetQueueLength())
	if queueLength == 0 {
		queueLength = defaultQueueLength
	}
	now := time.Now()
	f.local.condition.cold = f.local.condition.cold.withUpstream(snapshot.LocalUpstream, now)
	f.resetCondition(now)
	f.enforceRateLimit(now)
	f.admitter.SetFloor(0)
	if snapshot.HasCustomers() {
		f.admitter.SetFloor(lowerRankFloor)
	}
	if snapshot.LocalUpstream == nil || f.local.draining() {
		f.admitter.SetLimits(0, queueLength)
		f.refuseQueued()
		return
	}
	f.startPace(now)
	f.local.queueLength = queueLength
	f.admitter.SetLimits(f.local.pacer.Window(), queueLength)
	f.serveQueue()
}

// refuseQueued refuses the queued calls, which have not run, so that other upstreams can take them.
func (f *Forwarder) refuseQueued() {
	for x := range f.calls {
		if x.queued {
			x.queued = false
			f.admitter.Remove(x)
			x.retryNotRun("leaving")
		}
	}
}

// admitLocal requests a slot at the local upstream. The call is then sent, queued or refused.
func (x *exchange) admitLocal() {
	f := x.forwarder
	l := f.local.upstream
	if !x.snapshot.Configured {
		// Another node may know the upstream sooner than this one knows its limits, or that its zone is evacuated.
		x.retryNotRun("not-ready")
		return
	}
	if !f.local.reachable(time.Now()) || l.Service != x.service || x.version != "" && l.Version != x.version {
		x.retryNotRun("leaving")
		return
	}
	now, request := time.Now(), x.slotRequest()
	f.enforceRateLimit(now)
	f.restoreIdlePace(now)
	if !f.linkAdmits(x, request, now) {
		x.retryNotRun(reasonLinkFull)
		return
	}
	decision, evicted, hasEvicted := f.admitter.Enter(x, request, now)
	if hasEvicted {
		evicted.queued = false
		evicted.retryNotRun(reasonQueueFull)
	}
	switch decision {
	case admitter.Granted:
		x.sendLocal()
	case admitter.Queued:
		x.queued = true
		x.arm(now)
		f.armRateTimer(now)
	case admitter.Refused:
		x.refuseSlot()
	}
}

// refuseSlot handles a call that gets no slot: this node retries it elsewhere, or refuses it so that the sending node
// does.
func (x *exchange) refuseSlot() {
	switch {
	case !x.mayQueue:
		x.retryNotRun(reasonBusy)
	case x.forwarder.admitter.RateAllows(time.Now()):
		x.retryNotRun(reasonQueueFull)
	default:
		x.retryNotRun(reasonRateLimited)
	}
}

// linkAdmits reports whether the VM's network link can carry the response in time, judged by the route's mean response
// length. Short responses are always admitted.
func (f *Forwarder) linkAdmits(x *exchange, r admitter.Request, now time.Time) bool {
	bytes := f.responseBytes[x.route.Name]
	return bytes < longResponseBytes || f.link.Admits(r, bytes, f.admitter.ServiceTimeOf(x.route.Name), now)
}

// expectedBytes returns the length of a response's body, or the route's mean if the response does not state it.
func (x *exchange) expectedBytes(m *message) float64 {
	if m.length < 0 && x.route != nil {
		return x.forwarder.responseBytes[x.route.Name]
	}
	return float64(m.length)
}

// longResponseBytes is the length from which responses are admitted by the link's bandwidth and paced. Shorter ones are
// sent between them.
const longResponseBytes = 16 << 10

// Refusal reasons of calls that get no slot.
const (
	// reasonBusy means that no slot is free for a call that may not queue.
	reasonBusy = "busy"
	// reasonQueueFull means that the queue is full or that the call would wait too long.
	reasonQueueFull = "queue-full"
	// reasonLinkFull means that the VM's link has no room for the response.
	reasonLinkFull = "link-full"
	// reasonServiceFull means that the node where the call entered the mesh offered it to no other, since the service has
	// lately had no room for such calls.
	reasonServiceFull = "service-full"
	// reasonNodeLate means that the node where the call entered the mesh is late with what has arrived before.
	reasonNodeLate = "node-late"
	// reasonWaitedInVain means that the call did not get a slot in time.
	reasonWaitedInVain = "waited-in-vain"
	// reasonEvacuated means that all upstreams that could take the call are in evacuated availability zones.
	reasonEvacuated = "evacuated"
	// reasonRateLimited means that the upstream's rate limit would keep the call waiting too long.
	reasonRateLimited = "rate-limited"
)

// slotRequest returns the call's request to the admitter.
func (x *exchange) slotRequest() admitter.Request {
	return admitter.Request{Rank: x.rank, Kind: x.route.Name, Customer: x.customerName(), Weight: x.customer.GetRatePerSecond(),
		MayQueue: x.mayQueue, Target: x.targetAt, Deadline: x.deadline}
}

// latestStart returns the latest time at which the call may get a slot and be answered before its deadline.
func (x *exchange) latestStart() time.Time { return x.forwarder.admitter.LatestStart(x.slotRequest()) }

// localLoad returns the number of calls that run or are queued at the local upstream, and the mean service time.
func (f *Forwarder) localLoad() (load int, service time.Duration) {
	return f.admitter.InFlight() + f.admitter.Queued(), f.admitter.ServiceTime()
}

// sendLocal sends a call that holds a slot to the local upstream.
func (x *exchange) sendLocal() {
	f := x.forwarder
	l := f.local.upstream
	f.common.Checker.Assert(!f.local.draining(), checker.NoCallToDraining, "call %x sent to a draining upstream", x.id)
	a := &attempt{exchange: x, kind: kindCall, reservedBytes: f.responseBytes[x.route.Name],
		incarnation: l.Incarnation()}
	f.recordSend(time.Now())
	f.link.Reserve(a.reservedBytes)
	x.attempt = a
	p := f.pool(l.Address, l.Connections)
	p.reuseDelay = upstreamReuseDelay
	p.assign(a)
	if x.attempt == a {
		x.arm(time.Now())
	}
}

// releaseSlot releases a slot and hands free slots to queued calls.
func (f *Forwarder) releaseSlot() {
	f.admitter.Release()
	f.serveQueue()
}

// serveQueue sends queued calls while slots are free and the rate limit allows it.
func (f *Forwarder) serveQueue() {
	now := time.Now()
	f.enforceRateLimit(now)
	defer f.armRateTimer(now)
	for {
		x, ok := f.admitter.Next(now)
		if !ok {
			return
		}
		x.queued = false
		if !f.local.reachable(now) {
			f.admitter.Release()
			x.retryNotRun("leaving")
			continue
		}
		if !now.Before(x.latestStart()) {
			// The slot may be free because its call has ended at the same time, by the same deadline.
			f.admitter.Release()
			x.retryNotRun(reasonWaitedInVain)
			continue
		}
		x.sendLocal()
	}
}

// armRateTimer sets the timer that serves the queue to when the rate limit allows the first queued call.
func (f *Forwarder) armRateTimer(now time.Time) {
	wait, waiting := f.admitter.NextGrant(now)
	if !waiting {
		return
	}
	wait = max(wait, time.Millisecond)
	if f.local.rateTimer == nil {
		f.local.rateTimer = time.AfterFunc(wait, f.onRateTimer)
		return
	}
	f.local.rateTimer.Reset(wait)
}

func (f *Forwarder) onRateTimer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serveQueue()
}

// unreachableBackoff is how long an upstream that could not be connected to gets no calls.
const unreachableBackoff = 500 * time.Millisecond

// onUpstreamUnreachable is called when a connection to the upstream failed before it took a request. The upstream gets
// no calls for unreachableBackoff, and queued calls are retried elsewhere.
func (f *Forwarder) onUpstreamUnreachable(err error) {
	now := time.Now()
	f.local.unreachableUntil = now.Add(unreachableBackoff)
	f.restartPace()
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.local.condition.cold = f.local.condition.cold.withUnreachable(now)
	}
	f.refuseQueued()
}

// countRefused counts and logs a call that the upstream refused without running it.
func (f *Forwarder) countRefused(a *attempt) {
	f.stats.UpstreamRefused.Add(1)
	f.recordPaceFailure(a, time.Now())
	f.common.Logger.Debug("upstream refused the call", "request", a.exchange.requestID(), "status", a.response.status)
}

// draining reports whether the local upstream has announced or stated that it is draining. There must be one.
func (l *localState) draining() bool { return l.upstream.Draining || l.condition.Draining }

// reachable reports whether the local upstream may get calls: it is announced, not draining and not in its backoff.
func (l *localState) reachable(now time.Time) bool {
	return l.upstream != nil && !l.draining() && !now.Before(l.unreachableUntil)
}
