package forwarder

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// callLinesPerSecond and callLinesBurst bound the log lines about calls of each kind.
	callLinesPerSecond = 20
	callLinesBurst     = 100
)

// callLog writes the log lines about calls. Each kind of line has a bound of its own, so that retries,
// which are many, do not crowd out the lines about calls that failed.
type callLog struct {
	failures *rate.Limiter
	retries  *rate.Limiter
	// omitted counts the lines that were left out since the last one.
	omitted int
}

func newCallLog() callLog {
	return callLog{failures: rate.NewLimiter(callLinesPerSecond, callLinesBurst),
		retries: rate.NewLimiter(callLinesPerSecond, callLinesBurst)}
}

// logCall logs a decision about a call that entered the mesh here or was sent here by another node.
func (x *exchange) logCall(limiter *rate.Limiter, event string, pairs ...any) {
	f := x.forwarder
	if !limiter.Allow() {
		f.callLog.omitted++
		return
	}
	pairs = append(pairs, "request", x.requestID(), "service", x.service, "tries", x.tries, "arrivals", x.arrivals,
		"runs", x.runs, "last-node", x.lastNode, "age-ms", time.Since(x.startedAt).Milliseconds(),
		"left-ms", x.timeLeft().Milliseconds(), "config", x.view.Version, "omitted", f.callLog.omitted)
	f.callLog.omitted = 0
	f.common.Logger.Info(event, pairs...)
}

// timeLeft returns the time until the call's deadline, or 0 where that is not known yet.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return time.Until(x.deadline)
}

// requestID returns what the caller calls the request, or an empty text.
func (x *exchange) requestID() string {
	if name := x.forwarder.config.Dialect.RequestID; name != "" {
		return x.request.message.get(name)
	}
	return ""
}
