package balancer

import (
	"math"
	"time"
)

// serviceWeight is the weight of a new service time in the moving average.
const serviceWeight = 0.1

const (
	// ejectionFailures is the number of consecutive failures from which an endpoint is ejected. Its first ejection
	// lasts minEjection; each further failure doubles the time, up to maxEjection.
	ejectionFailures = 3
	minEjection      = 500 * time.Millisecond
	maxEjection      = 4 * time.Second
	// reportLifetime is the time over which the weight of a reported load falls linearly to zero.
	reportLifetime = time.Second
	// initialWindow is how many calls an endpoint is taken to run at once before its node has reported.
	initialWindow = 2
	// serviceTimeLifetime is the age up to which a service time counts in full, and its half-life after that.
	serviceTimeLifetime = 1500 * time.Millisecond
)

// Load tracks one endpoint as this node sees it: calls in flight, service time and failures. The forwarder's lock
// guards it.
type Load struct {
	// Outstanding is the number of this node's calls that have not ended. It is never negative.
	Outstanding int
	serviceTime time.Duration
	// serviceTimeAt is when serviceTime was last reported or measured.
	serviceTimeAt time.Time
	failures      int
	ejectedFor    time.Duration
	ejectedUntil  time.Time
	// reported is the load that the endpoint last reported, at reportedAt, and sentSinceReport counts this node's calls
	// since then.
	reported        int
	reportedAt      time.Time
	sentSinceReport int
	// openWindow is the number of calls that the endpoint's node last reported to let run; 0 if it has not reported any.
	openWindow int
}

// Begin records that a call is sent.
func (l *Load) Begin() {
	l.Outstanding++
	l.sentSinceReport++
}

// Cancel records the end of a call whose result says nothing about the endpoint.
func (l *Load) Cancel() { l.Outstanding-- }

// Succeed records a response, which ends the endpoint's series of failures.
func (l *Load) Succeed(latency time.Duration, now time.Time) {
	l.Outstanding--
	l.failures = 0
	l.ejectedFor = 0
	if l.reportedAt.IsZero() {
		// The latency approximates the service time until the endpoint reports it.
		l.recordServiceTime(latency, now)
	}
}

func (l *Load) recordServiceTime(service time.Duration, now time.Time) {
	l.serviceTimeAt = now
	if l.serviceTime == 0 {
		l.serviceTime = service
		return
	}
	l.serviceTime += time.Duration(serviceWeight * float64(service-l.serviceTime))
}

// ServiceTime returns the time that the endpoint needs for a call once it has a slot, or defaultServiceTime if it has not
// been measured.
func (l *Load) ServiceTime(now time.Time) time.Duration {
	return l.serviceTimeOr(defaultServiceTime, now)
}

// serviceTimeOr returns the time that the endpoint needs for a call once it has a slot. usual is that of its service.
//
// An endpoint that has not been measured, or not for long, may be faster than it is known to be: after a cold start, for
// instance. It is therefore expected to be, but only for one call: with a call on its way to it, it counts as it was last
// measured.
func (l *Load) serviceTimeOr(usual time.Duration, now time.Time) time.Duration {
	if l.serviceTime == 0 {
		return time.Duration(unmeasuredShare * float64(usual))
	}
	age := now.Sub(l.serviceTimeAt) - serviceTimeLifetime
	if age <= 0 || l.Outstanding > 0 {
		return l.serviceTime
	}
	return time.Duration(float64(l.serviceTime) * math.Exp2(-float64(age)/float64(serviceTimeLifetime)))
}

// measuredRecently reports whether the service time counts in full.
func (l *Load) measuredRecently(now time.Time) bool {
	return l.serviceTime > 0 && now.Sub(l.serviceTimeAt) <= serviceTimeLifetime
}

// Fail records the end of a call by a failure, such as a lost or refused connection.
func (l *Load) Fail(now time.Time) {
	l.Outstanding--
	l.RecordFailure(now)
}

// RecordFailure records a failure without ending a call.
func (l *Load) RecordFailure(now time.Time) {
	l.failures++
	if l.failures < ejectionFailures {
		return
	}
	l.ejectedFor = min(max(2*l.ejectedFor, minEjection), maxEjection)
	l.ejectedUntil = now.Add(l.ejectedFor)
}

// RecordReport records the load that the endpoint's node reports: the number of calls that run or wait there, and the
// mean service time of the upstream, or 0 if unknown.
func (l *Load) RecordReport(inFlight int, service time.Duration, now time.Time) {
	l.reported = inFlight
	l.reportedAt = now
	l.sentSinceReport = 0
	if service > 0 {
		l.serviceTime = service
		l.serviceTimeAt = now
	}
}

// RecordWindow records how many calls the endpoint's node lets run at its upstream.
func (l *Load) RecordWindow(calls int) { l.openWindow = calls }

// window returns how many calls the endpoint's node lets run, as it last reported. Until then it is the initial window.
func (l *Load) window(slots int) int {
	switch {
	case l.openWindow > 0:
		return min(l.openWindow, slots)
	case l.reportedAt.IsZero():
		return min(initialWindow, slots)
	}
	return slots
}

// Ejected reports whether the endpoint is avoided because of its failures. Once its time is over, it gets one call, whose
// result decides.
func (l *Load) Ejected(now time.Time) bool {
	return now.Before(l.ejectedUntil) || l.failures >= ejectionFailures && l.Outstanding > 0
}

// inFlight estimates the number of calls at the endpoint, from all nodes. The weight of the report falls with its age.
func (l *Load) inFlight(now time.Time) int {
	age := now.Sub(l.reportedAt)
	if age >= reportLifetime {
		return l.Outstanding
	}
	recent := float64(l.reported) * float64(reportLifetime-age) / float64(reportLifetime)
	return max(l.Outstanding, int(recent+0.5)+l.sentSinceReport)
}
