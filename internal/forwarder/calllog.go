package forwarder

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tamarackpitch/tamarackpitch/pkg/reducer"
)

const (
	// callLinesPerSecond and callLinesBurst limit the log lines about calls, separately for each limiter of callLog.
	callLinesPerSecond = 20
	callLinesBurst     = 100
	// unknownKeyLinesPerSecond limits the lines about calls without a valid API key.
	unknownKeyLinesPerSecond = 2
)

// callLog limits the rate of log lines about calls. Retries and failures have separate limits, so that frequent retries
// don't displace the lines about calls that failed.
type callLog struct {
	failures *rate.Limiter
	retries  *rate.Limiter
	// unknownKeys has its own limit, since callers may send many calls with a key that has been removed.
	unknownKeys *rate.Limiter
	// omitted counts the lines suppressed since the last one that was written.
	omitted int
}

func newCallLog() callLog {
	return callLog{failures: rate.NewLimiter(callLinesPerSecond, callLinesBurst),
		retries:     rate.NewLimiter(callLinesPerSecond, callLinesBurst),
		unknownKeys: rate.NewLimiter(unknownKeyLinesPerSecond, callLinesBurst)}
}

// logCall logs an event of a call with its state, unless the limiter suppresses the line.
func (x *exchange) logCall(limiter *rate.Limiter, event string, pairs ...any) {
	f := x.forwarder
	if !limiter.Allow() {
		f.callLog.omitted++
		return
	}
	pairs = append(pairs, "request", x.requestID(), "service", x.service, "tries", x.tries, "arrivals", len(x.reached),
		"runs", x.runs, "last-node", x.lastNode, "age-ms", time.Since(x.startedAt).Milliseconds(),
		"left-ms", x.timeLeft().Milliseconds(), "config", reducer.Position(x.snapshot.Version), "omitted", f.callLog.omitted)
	f.callLog.omitted = 0
	f.common.Logger.Info(event, pairs...)
}

// timeLeft returns the time until the call's deadline, or 0 if the deadline is not set yet.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return time.Until(x.deadline)
}

// requestID returns the caller's ID of the request, or an empty string if the dialect has no header for it.
func (x *exchange) requestID() string {
	if name := x.forwarder.config.Dialect.RequestID; name != "" {
		return x.request.message.get(name)
	}
	return ""
}
