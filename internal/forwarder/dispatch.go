package forwarder

import (
	"cmp"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/budgeter"
	"github.com/tamarackpitch/tamarackpitch/internal/router"
	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

// routes tells whether this node chooses the upstream, rather than the node that sent the call.
func (x *exchange) routes() bool {
	return x.operation == "" || x.operation == operationOwn
}

// replayable tells whether the request can be sent once more.
func (x *exchange) replayable() bool {
	return x.request.complete && !x.request.streamed
}

// dispatch chooses an upstream and sends the call on its way.
func (x *exchange) dispatch() {
	service := x.view.Services[x.route.Service]
	if service == nil {
		x.refuse(503, "no-service", runNo)
		return
	}
	x.tries++
	e := x.choose(service)
	if e == nil {
		x.refuse(503, cmp.Or(x.lastRefusal, "no-upstream"), runNo)
		return
	}
	if x.tried == nil {
		x.tried = map[string]bool{}
	}
	x.tried[e.Node] = true
	x.version = e.Version
	if e.Node == x.view.Node {
		x.enterLocal()
		return
	}
	x.sendPeer(e, operationCall)
}

// choose returns an endpoint that has not been tried yet, or nil.
func (x *exchange) choose(s *router.Service) *balancer.Endpoint {
	f := x.forwarder
	now := time.Now()
	skip := func(e *balancer.Endpoint) bool { return x.tried[e.Node] }
	version := f.chooseVersion(s, x.tries)
	if e := f.balancer.Choose(s.Versions[version], skip, now); e != nil {
		return e
	}
	if r := s.Rollout; r != nil && version == r.To {
		return f.balancer.Choose(s.Versions[r.From], skip, now)
	}
	return nil
}

// chooseVersion spreads the first tries over the versions by the rollout's share.
// Retries go to the old version while it takes traffic.
func (f *Forwarder) chooseVersion(s *router.Service, try int) string {
	r := s.Rollout
	switch {
	case r == nil:
		return s.Stable
	case r.Share >= 1:
		return r.To
	case r.Share <= 0 || try > 1:
		return r.From
	}
	sum, ok := f.shares[r.Name]
	if !ok {
		sum = f.random.Float64()
	}
	sum += r.Share
	version := r.From
	if sum >= 1 {
		sum--
		version = r.To
	}
	f.shares[r.Name] = sum
	return version
}

// budget returns the retry budget of a route's service and class, so that a class does not
// use up the retries of a higher one.
func (f *Forwarder) budget(r *schema.Route) *budgeter.Budget {
	key := budgetKey{service: r.Service, class: r.Class}
	b, ok := f.budgets[key]
	if !ok {
		b = budgeter.New()
		f.budgets[key] = b
	}
	return b
}

type budgetKey struct {
	service string
	class   string
}

// sendPeer sends the call to the node beside the chosen upstream.
func (x *exchange) sendPeer(e *balancer.Endpoint, operation string) {
	f := x.forwarder
	a := &attempt{exchange: x, kind: kindCall, operation: operation, id: f.newID(), endpoint: e}
	x.attempt = a
	e.Load.Begin()
	f.pool(e.PeerAddress, peerConnections).serve(a)
	if x.attempt == a {
		x.arm(time.Now())
	}
}

// retryNotRun tries another upstream after a refusal that is known not to have run.
func (x *exchange) retryNotRun(reason string) {
	x.lastRefusal = reason
	x.dropAttempts()
	if x.awaitsOwner() {
		x.tryNextOwner()
		return
	}
	if x.mayRetry() {
		x.dispatch()
		return
	}
	run := runNo
	if x.runs > 0 {
		run = runUnknown
	}
	x.refuse(503, reason, run)
}

// retryUnknown tries another upstream after an attempt that may have run.
func (x *exchange) retryUnknown(reason string) {
	x.dropAttempts()
	if x.idempotent && x.runs < maxRuns && x.mayRetry() {
		x.dispatch()
		return
	}
	x.refuse(502, reason, runUnknown)
}

func (x *exchange) mayRetry() bool {
	if !x.routes() || x.caller == nil || x.tries >= maxTries || !x.replayable() || !time.Now().Before(x.deadline) {
		return false
	}
	if !x.forwarder.budget(x.route).Spend() {
		return false
	}
	x.forwarder.stats.Retries.Add(1)
	return true
}

// answerHead takes the head of an attempt's answer.
func (x *exchange) answerHead(a *attempt, m *message) {
	switch a.kind {
	case kindClaim:
		x.claimHead(a, m)
		return
	case kindReserve:
		x.reserveHead(a, m)
		return
	}
	if !a.local() && x.swallows(a, m) {
		a.swallowed = m
		return
	}
	x.dropClaim()
	x.writeHead(m, !a.local())
}

// swallows tells whether a node's refusal leads to another try instead of an answer.
func (x *exchange) swallows(a *attempt, m *message) bool {
	switch m.get(headerRun) {
	case runNo:
		a.unsend()
		if a.operation == operationOwn {
			return false
		}
		return x.routes() && x.replayable() && x.tries < maxTries && m.status == 503
	case runUnknown:
		return x.idempotent && x.replayable() && x.runs < maxRuns && x.tries < maxTries
	}
	return false
}

// answerEnd is called when an attempt's answer has been read whole.
func (x *exchange) answerEnd(a *attempt) {
	now := time.Now()
	if x.attempt == a {
		x.attempt = nil
	}
	switch a.kind {
	case kindClaim:
		a.finish()
		x.claimEnd(a)
		return
	case kindReserve:
		a.finish()
		x.reserveEnd(a)
		return
	}
	outcome := ""
	if a.local() {
		x.forwarder.local.lastAnswer = now
		x.forwarder.countOutcome(x, a)
	} else {
		outcome = a.answer.get(headerRun)
		a.settleLoad(now, outcome)
	}
	if m := a.swallowed; m != nil {
		a.finish()
		if outcome == runNo {
			x.retryNotRun(m.get(headerRefusal))
			return
		}
		x.retryUnknown(m.get(headerRefusal))
		return
	}
	x.writeEnd(outcome)
	a.finish()
}

// settleLoad notes what an answer tells about the endpoint.
func (a *attempt) settleLoad(now time.Time, outcome string) {
	switch outcome {
	case "":
		a.endpoint.Load.Succeed(a.latency)
	case runNo:
		a.endpoint.Load.Cancel()
	default:
		a.endpoint.Load.Fail(now)
	}
}

// attemptLost is called when an attempt's connection failed before the answer was whole.
func (x *exchange) attemptLost(a *attempt, _ error) {
	f := x.forwarder
	if x.attempt == a {
		x.attempt = nil
	}
	switch a.kind {
	case kindClaim:
		a.finish()
		x.claimLost(a)
		return
	case kindReserve:
		a.finish()
		x.reserveLost()
		return
	}
	if a.local() {
		f.countLost(x, a)
	} else {
		a.endpoint.Load.Fail(time.Now())
	}
	a.finish()
	switch {
	case x.ended:
	case x.headSent:
		x.cut()
	case a.swallowed != nil && a.swallowed.get(headerRun) == runNo:
		x.retryNotRun(a.swallowed.get(headerRefusal))
	case !a.sent:
		x.notSent(a)
	case a.local():
		x.retryUnknown("upstream-lost")
	case x.idempotent && x.claim == nil:
		x.retryUnknown("node-lost")
	case x.claim == nil:
		x.startClaim(a)
	}
}

// notSent goes on after a connection that took nothing of the request.
func (x *exchange) notSent(a *attempt) {
	if a.operation == operationOwn {
		x.tryNextOwner()
		return
	}
	x.retryNotRun("connect")
}
