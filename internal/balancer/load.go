package balancer

import (
	"math"
	"time"
)

// serviceWeight is the weight of a new service time in the moving average.
const serviceWeight = 0.1

// Ejection of an endpoint that fails in a row.
const (
	failuresToEject = 3
	ejectBase       = 500 * time.Millisecond
	ejectMax        = 4 * time.Second
	// hintLifetime is how long a reported load counts.
	hintLifetime = time.Second
	// serviceLifetime is how long a service time counts in full, and then the time in which it halves.
	serviceLifetime = 1500 * time.Millisecond
)

// Load is what one node sees of one endpoint. The traffic goroutine's lock guards it.
type Load struct {
	// Outstanding counts calls of this node that have no answer yet. It is never negative.
	Outstanding int
	service     time.Duration
	// learnedAt is when service was last told or measured.
	learnedAt   time.Time
	failures    int
	ejectedFor  time.Duration
	ejectedTill time.Time
	// hint is the load that the endpoint told, and sent counts the calls of this node since then.
	hint   int
	hintAt time.Time
	sent   int
}

// Begin notes a call that was sent.
func (l *Load) Begin() {
	l.Outstanding++
	l.sent++
}

// Cancel notes the end of a call that tells nothing about the endpoint.
func (l *Load) Cancel() { l.Outstanding-- }

// Succeed notes an answer after some time.
func (l *Load) Succeed(latency time.Duration, now time.Time) {
	l.Outstanding--
	l.failures = 0
	l.ejectedFor = 0
	if l.hintAt.IsZero() {
		// The latency stands for the service time until the endpoint tells it.
		l.noteService(latency, now)
	}
}

func (l *Load) noteService(service time.Duration, now time.Time) {
	l.learnedAt = now
	if l.service == 0 {
		l.service = service
		return
	}
	l.service += time.Duration(serviceWeight * float64(service-l.service))
}

// ServiceTime is the time that the endpoint needs for a call once it has a slot. What was learned long ago
// counts less and less, so that an endpoint that was slow, as in its cold start, is tried again.
func (l *Load) ServiceTime(now time.Time) time.Duration {
	if l.service == 0 {
		return defaultServiceTime
	}
	age := now.Sub(l.learnedAt) - serviceLifetime
	if age <= 0 {
		return l.service
	}
	return time.Duration(float64(l.service) * math.Exp2(-float64(age)/float64(serviceLifetime)))
}

// Fail notes the end of a call by a lost or refused connection.
func (l *Load) Fail(now time.Time) {
	l.Outstanding--
	l.NoteFailure(now)
}

// NoteFailure notes a failure apart from the end of a call.
func (l *Load) NoteFailure(now time.Time) {
	l.failures++
	if l.failures < failuresToEject {
		return
	}
	l.ejectedFor = min(max(2*l.ejectedFor, ejectBase), ejectMax)
	l.ejectedTill = now.Add(l.ejectedFor)
}

// Hint notes what the node beside the upstream tells: the calls that run or wait there, and the
// time that the upstream needs for one, or 0 if that is not known.
func (l *Load) Hint(inFlight int, service time.Duration, now time.Time) {
	l.hint = inFlight
	l.hintAt = now
	l.sent = 0
	if service > 0 {
		l.service = service
		l.learnedAt = now
	}
}

// Ejected tells whether the endpoint is avoided for now.
func (l *Load) Ejected(now time.Time) bool { return now.Before(l.ejectedTill) }

// inFlight is the best guess of the calls at the endpoint. What was told fades over its lifetime.
func (l *Load) inFlight(now time.Time) int {
	age := now.Sub(l.hintAt)
	if age >= hintLifetime {
		return l.Outstanding
	}
	told := float64(l.hint) * float64(hintLifetime-age) / float64(hintLifetime)
	return max(l.Outstanding, int(told+0.5)+l.sent)
}
