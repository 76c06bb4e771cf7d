package forwarder

import (
	"net/http"
	"time"
)

// arm sets the timer to the next time at which onTimer may have something to do.
func (x *exchange) arm(now time.Time) {
	next := x.nextCheck(now)
	wait := max(next.Sub(now), time.Millisecond)
	if x.timer == nil {
		x.timer = time.AfterFunc(wait, x.onTimer)
		return
	}
	x.timer.Reset(wait)
}

func (x *exchange) nextCheck(now time.Time) time.Time {
	if x.headSent {
		return x.responseEnd()
	}
	next := x.deadline
	if x.queued {
		next = x.latestStart()
	}
	if check := now.Add(x.forwarder.progressInterval()); (x.attempt != nil || x.operation == operationCall) &&
		check.Before(next) {
		next = check
	}
	return next
}

// responseGrace is how long after the call's deadline a response that has begun may take to end.
const responseGrace = 250 * time.Millisecond

// responseEnd returns when a response that has begun is cut off: the call's deadline covers the whole response, so that an
// upstream that falls silent, or never ends, does not leave the caller waiting.
func (x *exchange) responseEnd() time.Time {
	idle := x.lastByteAt.Add(x.forwarder.common.Settings.BodyIdleTimeout)
	if end := x.deadline.Add(responseGrace); end.Before(idle) {
		return end
	}
	return idle
}

func (x *exchange) onTimer() {
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.ended {
		return
	}
	now := time.Now()
	x.sendProgress(now)
	switch {
	case x.headSent && !now.Before(x.responseEnd()):
		x.logCall(f.callLog.failures, "response cut off", "since-last-byte", now.Sub(x.lastByteAt))
		x.abort()
	case !x.headSent && !now.Before(x.deadline):
		x.timeOut()
	case x.queued && !now.Before(x.latestStart()):
		x.retryNotRun(reasonWaitedInVain)
	case !x.headSent:
		x.checkSilence(now)
	}
	if !x.ended {
		x.arm(now)
	}
}

// timeOut ends a call whose deadline has passed.
func (x *exchange) timeOut() {
	run := runNo
	if x.runs > 0 || x.operation == operationClaim || x.operation == operationReserve {
		run = runUnknown
	}
	// 503 also tells the caller that nothing was sent, so that it may retry.
	status := http.StatusServiceUnavailable
	if run != runNo {
		status = http.StatusGatewayTimeout
	}
	x.cancelAttempts()
	x.refuse(status, "deadline", run)
}
