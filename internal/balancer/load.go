package balancer

import "time"

// latencyWeight is the weight of a new latency in the moving average.
const latencyWeight = 0.2

// Ejection of an endpoint that fails in a row.
const (
	failuresToEject = 3
	ejectBase       = 500 * time.Millisecond
	ejectMax        = 10 * time.Second
	// hintLifetime is how long a reported queue length counts.
	hintLifetime = time.Second
)

// Load is what one node sees of one endpoint. The traffic goroutine's lock guards it.
type Load struct {
	// Outstanding counts calls of this node that have no answer yet. It is never negative.
	Outstanding int
	latency     float64
	failures    int
	ejectedFor  time.Duration
	ejectedTill time.Time
	hint        int
	hintAt      time.Time
}

// Begin notes a call that was sent.
func (l *Load) Begin() { l.Outstanding++ }

// Cancel notes the end of a call that tells nothing about the endpoint.
func (l *Load) Cancel() { l.Outstanding-- }

// Succeed notes an answer.
func (l *Load) Succeed(latency time.Duration) {
	l.Outstanding--
	l.failures = 0
	l.ejectedFor = 0
	seconds := latency.Seconds()
	if l.latency == 0 {
		l.latency = seconds
		return
	}
	l.latency += latencyWeight * (seconds - l.latency)
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

// Hint notes the calls that wait or run beside the upstream, as its node says.
func (l *Load) Hint(inFlight int, now time.Time) {
	l.hint = inFlight
	l.hintAt = now
}

// Ejected tells whether the endpoint is avoided for now.
func (l *Load) Ejected(now time.Time) bool { return now.Before(l.ejectedTill) }

// inFlight is the best guess of the calls at the endpoint.
func (l *Load) inFlight(now time.Time) int {
	if now.Sub(l.hintAt) < hintLifetime {
		return max(l.Outstanding, l.hint)
	}
	return l.Outstanding
}
