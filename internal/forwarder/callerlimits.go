package forwarder

import "time"

const (
	// defaultIdleTimeout ends a caller's idle connection where the configuration gives no time.
	defaultIdleTimeout = 2 * time.Minute
	// defaultBodyBytes bounds a request's body where the configuration does not.
	defaultBodyBytes = 1 << 40
)

// callerLimits bound what a caller may send, and how long it may take or stay idle.
type callerLimits struct {
	// headBytes bounds the header lines of a request. It is never above what the reader takes.
	headBytes     int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// callerLimits returns the limits in force: those of the configuration, or else this node's own.
func (f *Forwarder) callerLimits() callerLimits {
	l := callerLimits{headBytes: maxHeaderBytes, bodyBytes: defaultBodyBytes, headerTimeout: f.common.Settings.HeaderTimeout,
		idleTimeout: defaultIdleTimeout}
	given := f.view.Load().Limits
	if n := given.GetMaxHeaderBytes(); n > 0 {
		l.headBytes = int(min(n, maxHeaderBytes))
	}
	if n := given.GetMaxBodyBytes(); n > 0 {
		l.bodyBytes = int64(min(n, defaultBodyBytes))
	}
	if ms := given.GetHeaderTimeoutMs(); ms > 0 {
		l.headerTimeout = time.Duration(ms) * time.Millisecond
	}
	if ms := given.GetIdleTimeoutMs(); ms > 0 {
		l.idleTimeout = time.Duration(ms) * time.Millisecond
	}
	return l
}
