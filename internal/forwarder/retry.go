package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/budgeter"
)

const (
	// maxTries bounds the nodes that one call is offered to. Most refusals come before anything reaches an upstream.
	maxTries = 8
	// defaultAttempts bounds the upstreams that one call is sent to if its route sets no limit.
	defaultAttempts = 2
	// reasonUpstreamRefused is the refusal by an upstream itself. A retry after it is charged to the retry budget.
	reasonUpstreamRefused = "upstream-refused"
	// reasonGarbled is a response of an upstream that can't be relied on.
	reasonGarbled = "upstream-garbled"
)

// replayable reports whether the whole request is still available to be sent again.
func (x *exchange) replayable() bool {
	return x.request.complete && !x.request.streamed
}

// maxAttempts returns the maximum number of upstreams that the call may be sent to.
func (x *exchange) maxAttempts() int {
	if n := int(x.route.Attempts); n > 0 {
		return n
	}
	return defaultAttempts
}

// canTryAnother reports whether another node may be tried, regardless of the retry budget.
func (x *exchange) canTryAnother() bool {
	return x.choosesUpstream() && !x.caller.disconnected() && x.tries < maxTries &&
		len(x.reached) < x.maxAttempts() && x.replayable() && x.queueRefusals < maxQueueTries && time.Now().Before(x.deadline)
}

// hasAlternative reports whether another upstream can take the call if the current attempt is cancelled.
func (x *exchange) hasAlternative() bool {
	if !x.canTryAnother() || x.needsRetryToken() && !x.forwarder.budget(x.service, x.route.Class).CanWithdraw() {
		return false
	}
	now := time.Now()
	untried := func(e *balancer.Endpoint) bool { return x.mayTry(e, now) }
	return x.snapshot.Services[x.service].HasEndpoint(untried)
}

// needsRetryToken reports whether another try is charged to the retry budget: whether an upstream has seen the call
// for which the budget has not been charged yet.
func (x *exchange) needsRetryToken() bool { return len(x.reached) > x.chargedArrivals }

// takeRetry reports whether another node may be tried, and charges the retry budget for it. Each upstream that has
// seen the call is charged once, however many nodes are tried after it.
func (x *exchange) takeRetry() bool {
	if !x.canTryAnother() {
		return false
	}
	if !x.needsRetryToken() {
		return true
	}
	if !x.forwarder.budget(x.service, x.route.Class).Withdraw() {
		return false
	}
	x.chargedArrivals = len(x.reached)
	x.forwarder.stats.Retries.Add(1)
	x.logCall(x.forwarder.callLog.retries, "call retried")
	return true
}

// retryNotRun tries another node after an attempt that is known not to have run, or refuses the call.
func (x *exchange) retryNotRun(reason string) {
	x.lastRefusal = reason
	if lacksRoom(reason) {
		x.recordRoomRefusal()
	}
	if (reason == reasonBusy || reason == reasonLinkFull && !x.mayQueue) && x.choosesUpstream() {
		x.allowQueueAt(x.lastOffer)
	}
	x.cancelAttempts()
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

// refuseNotRun refuses a call whose last try did not run. An earlier one may have run.
func (x *exchange) refuseNotRun(reason string) {
	if x.runs > 0 {
		x.refuse(502, reason, runUnknown)
		return
	}
	x.refuse(503, reason, runNo)
}

// retryUnknown tries another node after an attempt that may have run, if the call is idempotent. Otherwise it refuses
// the call. pairs are logged with the reason.
func (x *exchange) retryUnknown(reason string, pairs ...any) {
	x.logCall(x.forwarder.callLog.retries, "attempt failed", append([]any{"reason", reason}, pairs...)...)
	x.cancelAttempts()
	x.buffered = nil
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

// budget returns the retry budget of a service and class. Each class has its own, so that it does not use up the
// retries of a higher one.
func (f *Forwarder) budget(service, class string) *budgeter.Budget {
	key := budgetKey{service: service, class: class}
	b, ok := f.budgets[key]
	if !ok {
		b = budgeter.New(f.snapshot.Load().MemberCount)
		f.budgets[key] = b
	}
	return b
}

// starvedWindow is how long after a refusal the failures of the node's own upstream are attributed to it.
const starvedWindow = time.Second

// recordStarved is called when a call that entered the mesh here is refused. The caller may be the local upstream,
// whose own responses then fail because of it. It does not depend on calls to its own service.
func (x *exchange) recordStarved() {
	if f := x.forwarder; f.local.upstream == nil || f.local.upstream.Service != x.service {
		f.starvedAt = time.Now()
	}
}

// starved reports whether a call that the local upstream may depend on was refused within starvedWindow.
func (f *Forwarder) starved(now time.Time) bool { return now.Sub(f.starvedAt) < starvedWindow }
