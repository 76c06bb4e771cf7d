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

// ServiceTime returns the time that the endpoint needs for a call once it has a slot. An old value decays, so that an
// endpoint that was slow, for instance in its cold start, is tried again.
func (l *Load) ServiceTime(now time.Time) time.Duration {
	if l.serviceTime == 0 {
		return defaultServiceTime
	}
	age := now.Sub(l.serviceTimeAt) - serviceTimeLifetime
	if age <= 0 {
		return l.serviceTime
	}
	return time.Duration(float64(l.serviceTime) * math.Exp2(-float64(age)/float64(serviceTimeLifetime)))
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

// Ejected reports whether the endpoint is avoided because of its failures.
func (l *Load) Ejected(now time.Time) bool { return now.Before(l.ejectedUntil) }

// inFlight estimates the number of calls at the endpoint, from all nodes. The weight of the report falls with its age.
func (l *Load) inFlight(now time.Time) int {
	age := now.Sub(l.reportedAt)
	if age >= reportLifetime {
		return l.Outstanding
	}
	recent := float64(l.reported) * float64(reportLifetime-age) / float64(reportLifetime)
	return max(l.Outstanding, int(recent+0.5)+l.sentSinceReport)
}
