package forwarder

import "time"

const (
	// defaultIdleTimeout applies to callers' idle connections if the configuration sets no timeout.
	defaultIdleTimeout = 2 * time.Minute
	// defaultBodyBytes limits a request's body if the configuration sets no limit, and is the highest that it can set.
	defaultBodyBytes = 1 << 40
)

// callerLimits limit what callers may send, and how long they may take to send a head or leave a connection idle.
type callerLimits struct {
	// headerBytes limits the total length of a request's header fields. It is at most the reader's maxHeaderBytes.
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// callerLimits returns the limits in force: those of the configuration, or else the node's defaults.
func (f *Forwarder) callerLimits() callerLimits {
	l := callerLimits{headerBytes: maxHeaderBytes, bodyBytes: defaultBodyBytes, headerTimeout: f.common.Settings.HeaderTimeout,
		idleTimeout: defaultIdleTimeout}
	configured := f.snapshot.Load().Limits
	if n := configured.GetMaxHeaderBytes(); n > 0 {
		l.headerBytes = int(min(n, maxHeaderBytes))
	}
	if n := configured.GetMaxBodyBytes(); n > 0 {
		l.bodyBytes = int64(min(n, defaultBodyBytes))
	}
	if ms := configured.GetHeaderTimeoutMs(); ms > 0 {
		l.headerTimeout = time.Duration(ms) * time.Millisecond
	}
	if ms := configured.GetIdleTimeoutMs(); ms > 0 {
		l.idleTimeout = time.Duration(ms) * time.Millisecond
	}
	return l
}
