package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/balancer"
	"github.com/tamarackpitch/tamarackpitch/internal/recorder"
)

// UpstreamCondition is what an upstream states in a response about itself, besides the response to the call.
type UpstreamCondition struct {
	// Limited reports whether the upstream states a rate limit.
	Limited bool
	// RateLimit is the number of calls per second that the upstream accepts from all nodes together. It is not negative,
	// and 0 if Limited is false.
	RateLimit float64
	// Draining means that the upstream's incarnation is about to end and accepts no new calls.
	Draining bool
}

// localCondition is the condition of the local upstream, as far as this process knows it.
type localCondition struct {
	// UpstreamCondition is what the upstream states, and inForce the same with the limit of its cold start, which is
	// enforced and reported to other nodes.
	UpstreamCondition
	inForce UpstreamCondition
	cold    coldStart
	// incarnation is the one that the condition applies to: the local upstream's, or the last one's while none is announced.
	incarnation balancer.Incarnation
	// coldLogged reports whether the log last said that the upstream is cold.
	coldLogged bool
	// stated reports whether a response to this process has stated the condition. Until then it is what other nodes
	// remember from before this process started.
	stated bool
	// sends counts the calls sent to the upstream since its rate limit was last lowered.
	sends sendMeter
	// nextLogAt is when the calls sent under a rate limit are next logged.
	nextLogAt time.Time
}

// describesUpstream reports whether a response of the local upstream's address tells something about the upstream that
// the call was addressed to, and the condition is still that upstream's. Its announcement may have lapsed: what an incarnation states
// holds for as long as it lives.
func (a *attempt) describesUpstream(m *message) bool {
	return a.exchange.forwarder.local.condition.incarnation == a.incarnation && a.responseClass != responseInvalid &&
		m.status != http.StatusMisdirectedRequest
}

// observeCondition applies what a response of the local upstream states about it.
func (a *attempt) observeCondition(m *message) {
	f := a.exchange.forwarder
	decode := f.config.Dialect.Condition
	if decode == nil || !a.describesUpstream(m) {
		return
	}
	last := f.local.condition.UpstreamCondition
	next, err := decode(m.get)
	if err != nil {
		a.exchange.logCall(f.callLog.failures, "rate limit of the upstream is invalid", "error", err)
	}
	if err != nil || !next.Limited && a.responseClass == responseNotExecuted {
		// A refusal without a rate limit may come from a part of the upstream that does not know it.
		next.Limited, next.RateLimit = last.Limited, last.RateLimit
	}
	// An incarnation that is draining does not come back.
	next.Draining = next.Draining || last.Draining
	f.local.condition.stated = true
	f.setCondition(next, time.Now())
}

// setCondition replaces the local upstream's condition and enforces it.
func (f *Forwarder) setCondition(next UpstreamCondition, now time.Time) {
	l := &f.local.condition
	last := l.UpstreamCondition
	if next == last {
		return
	}
	l.UpstreamCondition = next
	f.recordCondition(last, next)
	f.enforceRateLimit(now)
	if next.Draining && !last.Draining {
		f.admitter.SetLimits(0, 0)
		f.refuseQueued()
		if f.config.ReportDraining != nil {
			go (&drainReport{forwarder: f, incarnation: l.incarnation}).run()
		}
	}
	f.serveQueue()
}

// enforceRateLimit applies the lower of the limits that the local upstream states and that its cold start sets. It is
// called whenever either may have changed, and before calls are admitted, since a cold start ends by itself.
func (f *Forwarder) enforceRateLimit(now time.Time) {
	l := &f.local.condition
	last, next := l.inForce, l.cold.limit(l.UpstreamCondition, now)
	if next == last {
		return
	}
	l.inForce = next
	f.stats.setRateLimit(next.RateLimit)
	if !next.Limited {
		f.admitter.ClearRateLimit()
		f.logColdStart(now)
		return
	}
	sent := l.sends.lastSecond(now)
	if !last.Limited || next.RateLimit < last.RateLimit {
		l.sends = sendMeter{}
	}
	if l.cold.limits(now) {
		// The upstream may have become cold before this node noticed it.
		f.admitter.SetRateLimitAfter(next.RateLimit, sent, now)
	} else {
		f.admitter.SetRateLimit(next.RateLimit, now)
	}
	f.logColdStart(now)
}

// logColdStart logs the begin and the end of the limit that a cold start sets.
func (f *Forwarder) logColdStart(now time.Time) {
	l := &f.local.condition
	limited := l.cold.limits(now)
	if limited == l.coldLogged {
		return
	}
	l.coldLogged = limited
	if !limited {
		f.common.Logger.Info("cold start of the upstream is over", "instance", l.incarnation.Instance)
		return
	}
	f.common.Logger.Info("upstream is cold", "instance", l.incarnation.Instance, "limit", l.cold.perSecond,
		"for", l.cold.end().Sub(now).Round(time.Millisecond), "assumed", l.cold.assumedAt.After(l.cold.announcedAt))
}

// resetCondition forgets the condition if it is that of another incarnation than the local upstream's.
func (f *Forwarder) resetCondition(now time.Time) {
	l := &f.local.condition
	if f.local.upstream == nil || f.local.upstream.Incarnation() == l.incarnation {
		return
	}
	l.incarnation = f.local.upstream.Incarnation()
	l.stated = false
	f.setCondition(UpstreamCondition{}, now)
}

// recordCondition records a change of the local upstream's condition in the log, the timeline and the metrics.
func (f *Forwarder) recordCondition(last, next UpstreamCondition) {
	instance := f.local.condition.incarnation.Instance
	// Until the upstream has stated its condition to this process, other nodes have reported it.
	reported := !f.local.condition.stated
	switch {
	case next.Limited && !last.Limited:
		f.common.Logger.Info("upstream states a rate limit", "instance", instance, "limit", next.RateLimit,
			"reported-by-node", reported)
		f.recordUpstreamEvent("upstream-rate-limited", map[string]string{
			"instance": instance, "limit": strconv.FormatFloat(next.RateLimit, 'f', -1, 64)})
	case !next.Limited && last.Limited:
		f.common.Logger.Info("upstream states no rate limit any more", "instance", instance)
		f.recordUpstreamEvent("upstream-rate-limit-ended", map[string]string{"instance": instance})
	}
	if next.Draining && !last.Draining {
		f.common.Logger.Info("upstream states that it is draining", "instance", instance, "reported-by-node", reported)
		f.recordUpstreamEvent("upstream-states-draining", map[string]string{"instance": instance})
	}
}

func (f *Forwarder) recordUpstreamEvent(name string, fields map[string]string) {
	var service string
	if l := f.local.upstream; l != nil {
		service = l.Service
	}
	f.common.Recorder.Record(recorder.Event{Name: name, Service: service, Fields: fields})
}
