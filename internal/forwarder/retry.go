package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/budgeter"
)

const (
	// maxTries bounds the nodes that one call is offered to. Most refuse before anything reaches an upstream.
	maxTries = 8
	// defaultAttempts bounds the upstreams that one call is sent to, where its route says nothing.
	defaultAttempts = 2
	// reasonUpstreamRefused tells that an upstream refused the call, which draws on the retry budget.
	reasonUpstreamRefused = "upstream-refused"
)

// replayable tells whether the request can be sent once more.
func (x *exchange) replayable() bool {
	return x.request.complete && !x.request.streamed
}

// attempts bounds the upstreams that the call may be sent to.
func (x *exchange) attempts() int {
	if n := int(x.route.Attempts); n > 0 {
		return n
	}
	return defaultAttempts
}

// mayTryAgain tells whether another node may be tried, apart from the retry budget.
func (x *exchange) canTryAnother() bool {
	return x.choosesUpstream() && !x.caller.gone() && x.tries < maxTries && x.arrivals < x.attempts() &&
		x.replayable() && time.Now().Before(x.deadline)
}

// hasAlternative tells whether another upstream can take the call if the present attempt is given up.
func (x *exchange) hasAlternative() bool {
	if !x.canTryAnother() || x.needsRetryToken() && !x.forwarder.budget(x.service, x.route.Class).Holds() {
		return false
	}
	untried := func(e *balancer.Endpoint) bool { return !x.tried[e.Node] }
	return x.view.Services[x.service].HasEndpoint(untried)
}

// owesBudget tells whether another try draws on the retry budget: an upstream has seen the call that it was not drawn on for.
func (x *exchange) needsRetryToken() bool { return x.arrivals > x.chargedArrivals }

// mayRetry tells whether another node may be tried. It draws on the budget once for each upstream that has
// seen the call, however many nodes are asked after it.
func (x *exchange) takeRetry() bool {
	if !x.canTryAnother() {
		return false
	}
	if !x.needsRetryToken() {
		return true
	}
	if !x.forwarder.budget(x.service, x.route.Class).Spend() {
		return false
	}
	x.chargedArrivals = x.arrivals
	x.forwarder.stats.Retries.Add(1)
	x.logCall(x.forwarder.callLog.retries, "call retried")
	return true
}

// retryNotRun tries another upstream after a refusal that is known not to have run.
func (x *exchange) retryNotRun(reason string) {
	x.lastRefusal = reason
	if reason == reasonBusy && x.choosesUpstream() {
		x.noteBusy(x.lastNode)
	}
	x.dropAttempts()
	if x.awaitsOwner() {
		x.tryNextOwner()
		return
	}
	if x.takeRetry() {
		x.dispatch()
		return
	}
	x.refuseNotRun(reason)
}

// refuseNotRun ends a call after its last try did not run. An earlier one may have.
func (x *exchange) refuseNotRun(reason string) {
	if x.runs > 0 {
		x.refuse(502, reason, runUnknown)
		return
	}
	x.refuse(503, reason, runNo)
}

// retryUnknown tries another upstream after an attempt that may have run.
func (x *exchange) retryUnknown(reason string) {
	x.logCall(x.forwarder.callLog.retries, "attempt failed", "reason", reason)
	x.dropAttempts()
	if x.idempotent && x.takeRetry() {
		x.dispatch()
		return
	}
	x.refuse(502, reason, runUnknown)
}

type budgetKey struct {
	service string
	class   string
}

// budget returns the retry budget of a service and class, so that a class does not
// use up the retries of a higher one.
func (f *Forwarder) budget(service, class string) *budgeter.Budget {
	key := budgetKey{service: service, class: class}
	b, ok := f.budgets[key]
	if !ok {
		b = budgeter.New(f.view.Load().Members)
		f.budgets[key] = b
	}
	return b
}

// starvedTime is how long after a refusal at a node the failures of its upstream are put down to it.
const starvedWindow = time.Second

// noteStarved is called when a call that entered here is turned away. Calls for the upstream's own service are none
// that it depends on.
func (x *exchange) noteStarved() {
	if f := x.forwarder; f.local.upstream == nil || f.local.upstream.Service != x.service {
		f.starvedAt = time.Now()
	}
}

// starved tells whether calls that entered here, such as those that the upstream depends on, were turned away lately.
func (f *Forwarder) starved(now time.Time) bool { return now.Sub(f.starvedAt) < starvedWindow }
