package forwarder

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is told to retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRetryAfterShare is the largest part of the caller's remaining time that the delay may take, so that enough is
	// left to serve the retry.
	maxRetryAfterShare = 0.3
	// minAimShare and maxAimShare bound the delay of a caller that can still be served by its latency target, as parts of
	// the time to the target.
	minAimShare = 0.2
	maxAimShare = 0.4
	// minRetryJitter is the smallest part of the longest delay that a caller is told after its target.
	minRetryJitter = 0.5
)

// returnWindow is the time from which and until which callers that were refused together come back. Its width keeps them
// from coming back together.
type returnWindow struct {
	earliest, latest time.Duration
}

// newReturnWindow returns the window for a caller with a time left until its deadline and until its latency target; aimLeft is
// not positive if that can't be met any more. A caller that can be in time comes back soon, when the shortage may be that of a
// moment; others come back late, when it may be over.
func newReturnWindow(left, aimLeft time.Duration) returnWindow {
	longest := min(time.Duration(maxRetryAfterShare*float64(left)), maxRetryAfter)
	w := returnWindow{earliest: time.Duration(minRetryJitter * float64(longest)), latest: longest}
	if aimLeft > 0 {
		w = returnWindow{earliest: min(time.Duration(minAimShare*float64(aimLeft)), w.earliest),
			latest: min(time.Duration(maxAimShare*float64(aimLeft)), longest)}
	}
	return w
}

// at returns the delay at a point of the window, in [0, 1).
func (w returnWindow) at(point float64) time.Duration {
	return max(w.earliest+time.Duration(point*float64(w.latest-w.earliest)), minRetryAfter)
}

// retryAfter returns the value of a refusal's Retry-After header, in seconds, and whether to send the header. It is
// sent only with statuses 503 and 429, only to callers, and only if the dialect has it.
func (x *exchange) retryAfter(status int) (string, bool) {
	if status == http.StatusTooManyRequests && x.forwarder.config.Dialect.RetryAfter {
		jitter := 1 + x.forwarder.random.Float64()/2
		return strconv.FormatFloat(max(x.quotaRetryAfter, minRetryAfter).Seconds()*jitter, 'f', 3, 64), true
	}
	if status != http.StatusServiceUnavailable || x.operation != "" || !x.forwarder.config.Dialect.RetryAfter {
		return "", false
	}
	now := time.Now()
	left, stated := parseMillis(x.request.message, x.forwarder.config.Dialect.TimeLeft)
	left -= now.Sub(x.startedAt)
	if !stated {
		left = x.timeLeft()
	}
	w := newReturnWindow(left, x.aimLeft(now))
	if x.forwarder.draining {
		// Another node can take the call at once.
		w = returnWindow{}
	}
	// Before the first rate limit allows a call, the caller would only be refused again.
	after := min(w.at(x.forwarder.random.Float64())+x.shortestRateDelay(now), maxRetryAfter)
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64), true
}

// aimLeft returns the time until the call's latency target, or 0 if it has hardly a chance to be answered by it, has none or
// its route is not known.
func (x *exchange) aimLeft(now time.Time) time.Duration {
	if x.route == nil || x.targetAt.IsZero() || x.late() {
		return 0
	}
	return max(x.targetAt.Sub(now), 0)
}

// shortestRateDelay returns how long the rate limits of all endpoints of the call's service keep a further call waiting;
// 0 if any of them does not.
func (x *exchange) shortestRateDelay(now time.Time) time.Duration {
	service := x.snapshot.Services[x.service]
	if x.route == nil || service == nil {
		return 0
	}
	shortest := maxRetryAfter
	for _, e := range slices.Concat(service.Stable, service.Canary) {
		shortest = min(shortest, x.forwarder.rateDelay(e, now))
	}
	return max(shortest, 0)
}
