package forwarder

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// minComeback and maxComeback bound the time after which a refused caller is told to come back.
	minComeback = 50 * time.Millisecond
	maxComeback = 2 * time.Second
	// comebackPart of the caller's time that is left is the longest that it is sent away for, so that
	// enough is left for the request to be served.
	comebackPart = 0.25
)

// retryAfter returns the value of the header that tells a refused caller when to come back.
func (x *exchange) retryAfter(status int) (string, bool) {
	if status != http.StatusServiceUnavailable || x.operation != "" || !x.forwarder.config.Dialect.RetryAfter {
		return "", false
	}
	left := x.timeLeft()
	if x.route == nil {
		left, _ = timeLeft(x.request.message, x.forwarder.config.Dialect.TimeLeft)
	}
	longest := min(time.Duration(comebackPart*float64(left)), maxComeback)
	// Returns are spread, so that those refused together do not come back together.
	spread := 0.5 + x.forwarder.random.Float64()/2
	after := max(time.Duration(spread*float64(longest)), minComeback)
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64), true
}
