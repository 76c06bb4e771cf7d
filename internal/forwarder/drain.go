package forwarder

import "time"

// leave sets the time until which the node, which begins to leave, can answer calls, also for those in progress. Their
// callers would otherwise see their connections close without a response when the process exits. Responses that have begun
// may take until then.
func (f *Forwarder) leave() {
	s := f.common.Settings
	f.leaveDeadline = time.Now().Add(s.LeaveDelay + s.DrainTimeout - leaveMargin)
	for x := range f.calls {
		if !x.headSent {
			x.endWithNode()
		}
	}
}

// Drain waits, up to the timeout, until all calls have ended and all accepted connections are closed. Callers are told to
// close their connections with the next response. It reports whether none is left in time. From then on, every call is
// refused.
//
// New connections of callers are accepted as long as the local upstream runs calls: it may make calls of its own for them,
// and it has no other node to send these to. Other nodes may connect until Close, to ask for the outcome of calls that they
// sent here.
func (f *Forwarder) Drain(timeout time.Duration) bool {
	const pollInterval = 20 * time.Millisecond
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if !f.upstreamMayCall(time.Now()) {
			f.closeCallerListener()
		}
		if f.closeIdle(time.Now()) {
			return true
		}
		time.Sleep(pollInterval)
	}
	f.closeCallerListener()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuseCalls(time.Now())
	f.logUnfinished()
	return false
}

// upstreamMayCall reports whether the local upstream runs calls, or will run those that are queued, and may make calls of its
// own that the node can still answer.
func (f *Forwarder) upstreamMayCall(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	load, _ := f.localLoad()
	return load > 0 && (f.leaveDeadline.IsZero() || now.Before(f.leaveDeadline))
}

// refuseCalls has every call refused that starts from now on, since the process is about to exit. A connection that was
// accepted before may only now be registered with the poller.
func (f *Forwarder) refuseCalls(now time.Time) {
	if f.leaveDeadline.IsZero() || now.Before(f.leaveDeadline) {
		f.leaveDeadline = now
	}
}

// closeIdle closes connections that have been idle for a while, and reports whether no connection and no call is left. If
// so, no call starts any more.
func (f *Forwarder) closeIdle(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeIdleConns(now)
	if len(f.serverConns) > 0 || len(f.calls) > 0 || f.unregistered.Load() > 0 {
		return false
	}
	f.refuseCalls(now)
	return true
}

// closeIdleConns closes connections that have been idle for a while. One with unread input is not idle: on a busy node, a
// request may wait in the kernel for longer than that.
func (f *Forwarder) closeIdleConns(now time.Time) {
	const minIdle = 300 * time.Millisecond
	for s := range f.serverConns {
		if s.idle() && now.Sub(s.lastUse()) >= minIdle && !s.conn.lingering && !s.conn.hasInput() {
			s.conn.closeWhenDrained()
		}
	}
}
