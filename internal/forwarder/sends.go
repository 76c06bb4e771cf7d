package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/checker"
)

const (
	// rateLimitTolerance and rateLimitSlack bound the calls that an upstream may get in a meterWindow: the tolerance
	// times what its rate limit allows, plus the slack.
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
	// rateLimitLogInterval is the time between two log lines about the calls sent under a rate limit.
	rateLimitLogInterval = meterWindow
)

// recordSend counts a call that is sent to the local upstream, and checks that its rate limit is kept.
func (f *Forwarder) recordSend(now time.Time) {
	f.stats.Sent.Add(1)
	l := &f.local.condition
	l.sends.record(now)
	if !l.inForce.Limited {
		return
	}
	sent := l.sends.total(now)
	allowed := rateLimitTolerance*l.inForce.RateLimit*meterWindow.Seconds() + rateLimitSlack
	f.common.Checker.Assert(float64(sent) <= allowed, checker.RateLimitKept,
		"%d calls in %v to an upstream with a rate limit of %v per second", sent, meterWindow, l.inForce.RateLimit)
	if float64(sent) > allowed {
		// The count begins anew, so that each excess is reported once.
		l.sends = sendMeter{}
	}
	if !now.Before(l.nextLogAt) {
		l.nextLogAt = now.Add(rateLimitLogInterval)
		f.common.Logger.Info("calls sent under a rate limit", "instance", l.incarnation.Instance, "limit", l.inForce.RateLimit,
			"sent", sent, "in", meterWindow, "queued", f.admitter.Queued(), "running", f.admitter.InFlight())
	}
}
