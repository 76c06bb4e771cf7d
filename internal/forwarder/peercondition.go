package forwarder

import (
	"bytes"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/admitter"
	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
)

// peerConditionLifetime is how long a condition is remembered after the node beside the upstream last confirmed it.
const peerConditionLifetime = 10 * time.Minute

// peerCondition is the condition of the upstream beside another node, as that node last reported it.
//
// Entry nodes remember conditions so that these outlive the process beside the upstream: each call carries what its
// entry node remembers, and a node that has just started adopts it until its upstream has stated its condition itself.
type peerCondition struct {
	UpstreamCondition
	// upstream is the key of the incarnation that the condition applies to.
	upstream uint64
	// nextCall is when the rate limit is expected to allow a further call.
	nextCall    time.Time
	confirmedAt time.Time
}

// writePeerCondition writes what this node remembers about the upstream beside another node into a request to it.
func (f *Forwarder) writePeerCondition(b *bytes.Buffer, node string) {
	if c, ok := f.peerConditions[node]; ok {
		conditionReport{UpstreamCondition: c.UpstreamCondition, upstream: c.upstream}.write(b)
	}
}

// adoptCondition applies what the sending node remembers about the local upstream, unless that has stated its condition
// to this process. Of several rate limits the lowest applies.
func (x *exchange) adoptCondition() {
	f := x.forwarder
	l := &f.local.condition
	r, ok := x.readConditionReport(x.request.message)
	if !ok || f.knowsCondition() || f.local.upstream == nil || f.local.upstream.Incarnation().Key() != r.upstream {
		return
	}
	next := r.UpstreamCondition
	if l.cold.perSecond > 0 && next.RateLimit == l.cold.perSecond {
		// This is the limit of a cold start, which the upstream announces to this node itself.
		next.Limited, next.RateLimit = false, 0
	}
	if l.Limited && (!next.Limited || l.RateLimit < next.RateLimit) {
		next.Limited, next.RateLimit = true, l.RateLimit
	}
	next.Draining = next.Draining || l.Draining
	f.setCondition(next, time.Now())
}

// knowsCondition reports whether this process has nothing to learn from other nodes about what the local upstream states:
// it has stated its condition to this process, or upstreams state none.
func (f *Forwarder) knowsCondition() bool {
	return f.local.condition.stated || f.config.Dialect.Condition == nil
}

// writeLocalCondition writes the local upstream's condition into the response to another node. A condition without
// limits is written only if the other node remembers one.
func (x *exchange) writeLocalCondition(b *bytes.Buffer, now time.Time) {
	f := x.forwarder
	l := &f.local.condition
	if l.inForce == (UpstreamCondition{}) && (!f.knowsCondition() || x.request.message.get(headerUpstream) == "") {
		return
	}
	conditionReport{UpstreamCondition: l.inForce, upstream: l.incarnation.Key(),
		rateDelay: f.admitter.RateDelay(now)}.write(b)
}

// observePeerCondition remembers the condition that another node reports in a response.
func (a *attempt) observePeerCondition(m *message) {
	f, node := a.exchange.forwarder, a.endpoint.Node
	r, ok := a.exchange.readConditionReport(m)
	if !ok {
		if m.get(headerRun) == runNo {
			f.revertPeerCall(a.endpoint)
		}
		return
	}
	if r.UpstreamCondition == (UpstreamCondition{}) {
		delete(f.peerConditions, node)
		return
	}
	now := time.Now()
	f.peerConditions[node] = &peerCondition{UpstreamCondition: r.UpstreamCondition, upstream: r.upstream,
		nextCall: now.Add(r.rateDelay), confirmedAt: now}
}

// conditionOf returns what this node remembers about an endpoint's upstream, or nil.
func (f *Forwarder) conditionOf(e *balancer.Endpoint) *peerCondition {
	c := f.peerConditions[e.Node]
	if c == nil || c.upstream != e.Upstream.Key() {
		return nil
	}
	return c
}

// isDraining reports whether an endpoint's upstream has stated that it is draining, as far as this node knows.
func (f *Forwarder) isDraining(e *balancer.Endpoint) bool {
	if f.isOwn(e) {
		return f.local.upstream != nil && f.local.draining()
	}
	c := f.conditionOf(e)
	return c != nil && c.Draining
}

// recordPeerCall accounts for a call that is sent to an endpoint until its node reports the rate delay again.
func (f *Forwarder) recordPeerCall(e *balancer.Endpoint, now time.Time) {
	c := f.conditionOf(e)
	if c == nil || !c.Limited {
		return
	}
	interval := admitter.Interval(c.RateLimit)
	earliest := now.Add(-time.Duration(admitter.Burst(c.RateLimit)-1) * interval)
	if c.nextCall.Before(earliest) {
		c.nextCall = earliest
	}
	c.nextCall = c.nextCall.Add(interval)
}

// revertPeerCall reverts recordPeerCall for a call that did not reach the endpoint's upstream.
func (f *Forwarder) revertPeerCall(e *balancer.Endpoint) {
	if c := f.conditionOf(e); c != nil && c.Limited {
		c.nextCall = c.nextCall.Add(-admitter.Interval(c.RateLimit))
	}
}

// rateDelay returns how long an endpoint's rate limit keeps a further call waiting. It is not positive if it does not.
func (f *Forwarder) rateDelay(e *balancer.Endpoint, now time.Time) time.Duration {
	if f.isOwn(e) {
		return f.admitter.RateDelay(now)
	}
	c := f.conditionOf(e)
	if c == nil || !c.Limited {
		return 0
	}
	return c.nextCall.Sub(now)
}

// sweepPeerConditions forgets conditions that have not been confirmed for long.
func (f *Forwarder) sweepPeerConditions(now time.Time) {
	for node, c := range f.peerConditions {
		if now.Sub(c.confirmedAt) >= peerConditionLifetime {
			delete(f.peerConditions, node)
		}
	}
}
