package forwarder

import (
	"cmp"
	"net/http"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
)

// choosesUpstream reports whether this node, rather than the node that sent the call, chooses the upstream.
func (x *exchange) choosesUpstream() bool {
	return x.operation == "" || x.operation == operationOwn
}

// dispatch chooses an upstream and sends the call to its node. A node is first asked for a free slot; one that had
// none may be chosen again and is then asked for a place in its queue.
func (x *exchange) dispatch() {
	service := x.snapshot.Services[x.service]
	if service == nil {
		x.refuse(503, "no-service", runNo)
		return
	}
	x.tries++
	e := x.choose(service)
	if e == nil {
		x.refuseNotRun(x.reasonWithoutEndpoint(service))
		return
	}
	if x.tooLateForNode(e, time.Now()) {
		x.refuseNotRun(reasonNodeLeaving)
		return
	}
	x.lastNode, x.lastZone, x.lastOffer = e.Node, e.Zone, x.forwarder.offerOf(e)
	x.tried.add(x.lastOffer)
	x.mayQueue = x.busyOffers.has(x.lastOffer) || x.waitsAtOnce(e.Zone, time.Now())
	x.version = e.Version
	if x.forwarder.isOwn(e) {
		x.admitLocal()
		return
	}
	x.sendPeer(e, operationCall)
}

// reasonWithoutEndpoint returns the reason for refusing a call that no endpoint may take.
func (x *exchange) reasonWithoutEndpoint(s *router.Service) string {
	now := time.Now()
	limited := func(e *balancer.Endpoint) bool {
		return x.untried(e) && !x.forwarder.isDraining(e) && !x.admitsInTime(e, now)
	}
	if s.HasEndpoint(limited) {
		return reasonRateLimited
	}
	if s.Evacuated && len(s.Stable)+len(s.Canary) == 0 {
		return reasonEvacuated
	}
	return cmp.Or(x.lastRefusal, "no-upstream")
}

// allowQueueAt allows an offer to a node that had no free slot to be made again, for its queue. Calls do not queue in another
// zone if their own has upstreams: there they would only displace that zone's own calls.
func (x *exchange) allowQueueAt(o offer) {
	if x.lastZone != x.forwarder.common.Settings.Zone && x.hasEndpointInZone() {
		return
	}
	x.busyOffers.add(o)
	x.tried.remove(o)
}

// hasEndpointInZone reports whether the service has an endpoint in this node's zone that accepts the call.
func (x *exchange) hasEndpointInZone() bool {
	now := time.Now()
	sameZone := func(e *balancer.Endpoint) bool {
		return e.Zone == x.forwarder.common.Settings.Zone && x.accepts(e, now)
	}
	return x.snapshot.Services[x.service].HasEndpoint(sameZone)
}

// mayTry reports whether an endpoint that the call has not tried may still take it.
func (x *exchange) mayTry(e *balancer.Endpoint, now time.Time) bool {
	return x.untried(e) && x.accepts(e, now)
}

// untried reports whether the call has neither been offered to an endpoint nor reached the upstream at its place, under
// whatever node's name.
func (x *exchange) untried(e *balancer.Endpoint) bool {
	o := x.forwarder.offerOf(e)
	return !x.tried.has(o) && !x.reached.has(o.place)
}

// accepts reports whether an endpoint's upstream accepts the call, as far as this node knows: it is not draining, and its
// rate limit lets the call start in time.
func (x *exchange) accepts(e *balancer.Endpoint, now time.Time) bool {
	return !x.forwarder.isDraining(e) && x.admitsInTime(e, now)
}

// admitsInTime reports whether an endpoint's rate limit lets the call start in time.
func (x *exchange) admitsInTime(e *balancer.Endpoint, now time.Time) bool {
	delay := x.forwarder.rateDelay(e, now)
	if delay <= 0 {
		return true
	}
	start := admitter.StartBy(x.slotRequest(), e.Load.ServiceTime(now), now)
	return start.IsZero() || !now.Add(delay).After(start)
}

// choose returns an endpoint that may be tried, or nil. It falls back from a rollout's new version to the old one,
// but not the other way round.
func (x *exchange) choose(s *router.Service) *balancer.Endpoint {
	f := x.forwarder
	now := time.Now()
	call := balancer.Call{
		Skip:      func(e *balancer.Endpoint) bool { return !x.mayTry(e, now) },
		ZoneCost:  x.zoneCost(now),
		RateDelay: func(e *balancer.Endpoint) time.Duration { return f.rateDelay(e, now) },
		Weight:    f.callWeights.weight(x.route.Name),
	}
	if !x.targetAt.IsZero() {
		call.TimeToTarget = x.targetAt.Sub(now)
	}
	onCanary := f.choosesCanary(s, x.tries)
	endpoints, others := s.Stable, s.Canary
	if onCanary {
		endpoints, others = others, endpoints
	}
	f.recordLocalLoad(endpoints, now)
	if e := f.balancer.Choose(endpoints, call, now); e != nil || !onCanary {
		return e
	}
	return f.balancer.Choose(others, call, now)
}

// recordLocalLoad updates the endpoint of this node's own upstream with its current load.
func (f *Forwarder) recordLocalLoad(endpoints []*balancer.Endpoint, now time.Time) {
	node := f.common.Settings.Name
	for _, e := range endpoints {
		if e.Node == node {
			load, service := f.localLoad()
			e.Load.RecordReport(load, service, now)
			e.Load.RecordWindow(f.local.pacer.Window())
			return
		}
	}
}

// choosesCanary reports whether a try goes to the rollout's new version. First tries are split by the rollout's share;
// retries go to the old version as long as it takes traffic.
func (f *Forwarder) choosesCanary(s *router.Service, try int) bool {
	r := s.Rollout
	switch {
	case r == nil:
		return false
	case r.Share >= 1:
		return true
	case r.Share <= 0 || try > 1:
		return false
	}
	return f.sampler("rollout/"+r.Name, versionStep).next() < r.Share
}

// sendPeer sends the call to the node beside the chosen upstream.
func (x *exchange) sendPeer(e *balancer.Endpoint, operation string) {
	f := x.forwarder
	a := &attempt{exchange: x, kind: kindCall, operation: operation, id: f.newID(), endpoint: e}
	x.attempt = a
	e.Load.Begin()
	f.stats.recordSent(e.Zone == f.common.Settings.Zone)
	f.recordPeerCall(e, time.Now())
	f.pool(e.PeerAddress, peerConnections).assign(a)
	if x.attempt == a {
		x.arm(time.Now())
	}
}

// onResponseHead handles the head of an attempt's response.
func (x *exchange) onResponseHead(a *attempt, m *message) {
	switch a.kind {
	case kindClaim:
		x.onClaimHead(a, m)
		return
	case kindReserve:
		x.onReserveHead(a, m)
		return
	}
	if x.suppresses(a, m) {
		a.suppressed = m
		if m.status == http.StatusInternalServerError && m.get(headerRun) == "" && a.responseClass == responseValid {
			a.failure = &bufferedResponse{message: m, fromPeer: !a.local()}
		}
		return
	}
	x.cancelClaim()
	if x.shouldBuffer(m) {
		x.buffered = &bufferedResponse{message: m, fromPeer: !a.local()}
		return
	}
	x.writeHead(m, !a.local())
}

// suppresses reports whether a response is not forwarded to the caller, but leads to another try or to a refusal.
func (x *exchange) suppresses(a *attempt, m *message) bool {
	if a.local() {
		return a.responseClass != responseValid || x.shouldRetryFailure(a, m)
	}
	switch m.get(headerRun) {
	case runNo:
		a.markNotRun()
		if m.get(headerRefusal) == reasonUpstreamRefused {
			x.reached.add(a.place())
		}
		if a.operation == operationOwn {
			return false
		}
		return x.choosesUpstream() && x.replayable() && m.status == 503
	case runUnknown:
		return x.idempotent && x.canTryAnother()
	}
	return x.shouldRetryFailure(a, m)
}

// shouldRetryFailure reports whether a failure response of the upstream itself should be retried. It should not while
// calls that the upstream may depend on are refused, since another upstream would fail as well.
func (x *exchange) shouldRetryFailure(a *attempt, m *message) bool {
	if a.local() && x.forwarder.starved(time.Now()) || m.get(headerStarved) != "" {
		return false
	}
	return m.status == http.StatusInternalServerError && x.idempotent && x.forwarder.config.Dialect.Seal != "" &&
		x.canTryAnother() && x.forwarder.budget(x.service, x.route.Class).CanWithdraw()
}

// onResponseEnd is called when an attempt's response has been read completely, or cut.
func (x *exchange) onResponseEnd(a *attempt) {
	now := time.Now()
	if x.attempt == a {
		x.attempt = nil
	}
	switch a.kind {
	case kindClaim:
		a.finish()
		x.onClaimEnd(a)
		return
	case kindReserve:
		a.finish()
		x.onReserveEnd(a)
		return
	}
	a.keepFailure()
	if a.local() {
		x.forwarder.local.lastResponseAt = now
		x.forwarder.recordServiceTime(a, now.Sub(a.began))
		x.forwarder.countOutcome(x, a)
		x.onLocalResponseEnd(a)
		return
	}
	outcome := a.response.get(headerRun)
	a.recordResult(now, outcome)
	a.finish()
	switch {
	case x.startsOver():
		x.retryUnknown(reasonGarbled)
	case a.suppressed == nil:
		x.writeEnd(outcome)
	case outcome == runNo:
		x.retryNotRun(a.suppressed.get(headerRefusal))
	case outcome == runUnknown:
		x.retryUnknown(a.suppressed.get(headerRefusal))
	default:
		x.retryUnknown("upstream-failed")
	}
}

// onLocalResponseEnd handles the end of a response of the local upstream. A refusal that has been cut is invalid, and is no
// proof that the call has not run.
func (x *exchange) onLocalResponseEnd(a *attempt) {
	a.finish()
	switch {
	case x.startsOver():
		x.retryUnknown(reasonGarbled)
	case a.suppressed == nil:
		if a.response.status < http.StatusMultipleChoices {
			x.forwarder.recordResponseBytes(x.route, a.received)
		}
		x.writeEnd("")
	case a.responseClass == responseNotExecuted && !a.responseCut:
		x.forwarder.countRefused(a)
		a.markNotRun()
		x.retryNotRun(reasonUpstreamRefused)
	case a.responseClass != responseValid:
		x.retryUnknown(reasonGarbled)
	default:
		x.retryUnknown("upstream-failed")
	}
}

// recordResult updates the endpoint's load and failures after a response.
func (a *attempt) recordResult(now time.Time, outcome string) {
	switch outcome {
	case "":
		a.endpoint.Load.Succeed(a.latency, now)
		a.exchange.recordOverflow(a.endpoint, true, now)
	case runNo:
		a.endpoint.Load.Cancel()
		a.exchange.recordOverflow(a.endpoint, a.response.get(headerRefusal) != reasonBusy, now)
	default:
		a.endpoint.Load.Fail(now)
	}
}

// onAttemptLost is called when an attempt's connection failed before the response was complete.
func (x *exchange) onAttemptLost(a *attempt, err error) {
	f := x.forwarder
	if x.attempt == a {
		x.attempt = nil
	}
	x.buffered = nil
	switch a.kind {
	case kindClaim:
		a.finish()
		x.onClaimLost(a)
		return
	case kindReserve:
		a.finish()
		x.onReserveLost(a)
		return
	}
	if a.local() {
		f.countFailure(x, a)
		f.recordPaceFailure(a, time.Now())
	} else {
		a.endpoint.Load.Fail(time.Now())
	}
	a.finish()
	switch {
	case x.ended:
	case x.headSent:
		x.abort()
	case a.suppressed != nil && a.suppressed.get(headerRun) == runNo && !a.local():
		x.retryNotRun(a.suppressed.get(headerRefusal))
	case !a.sent:
		x.handleNotSent(a, err)
	case a.local():
		x.retryUnknown("upstream-lost", "error", err, "reused", a.conn.reused)
	case x.idempotent && x.claim == nil:
		x.retryUnknown("node-lost", "error", err, "reused", a.conn.reused)
	case x.claim == nil:
		x.startClaim(a)
	}
}

// handleNotSent handles an attempt whose connection failed before any of the request was sent.
func (x *exchange) handleNotSent(a *attempt, err error) {
	if a.operation == operationOwn {
		x.tryNextOwner()
		return
	}
	if a.local() {
		x.forwarder.onUpstreamUnreachable(err)
	} else {
		x.forwarder.revertPeerCall(a.endpoint)
	}
	x.retryNotRun("connect")
}
