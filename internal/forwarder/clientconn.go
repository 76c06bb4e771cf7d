package forwarder

import (
	"time"

	"github.com/tamarackpitch/tamarackpitch/internal/parser"
)

// clientConn is a connection to another node or to the upstream. It carries one attempt at a time.
type clientConn struct {
	forwarder *Forwarder
	pool      *pool
	conn      *conn
	// attempt is the one on the connection, or nil while it is idle.
	attempt   *attempt
	idleSince time.Time
	// keepAlive is how long the server keeps the connection while it is idle, or 0 if it has not stated that.
	keepAlive time.Duration
	// reused is set if the connection has carried another attempt before.
	reused bool
	// response is the head of the response being read, or nil if it is discarded.
	response *message
	// skippedStale is set once a late response to an earlier request has been discarded. The connection is then not reused,
	// since another one would end the next call.
	skippedStale bool
	// unforwardedBytes counts the bytes read of the current response's body if that is not forwarded.
	unforwardedBytes int64
}

// keepAliveMargin is how long before the end of the server's timeout an idle connection is no longer used, so that no
// request crosses the server's close.
const keepAliveMargin = 500 * time.Millisecond

// maxIdle returns how long the connection may be idle and still be used.
func (c *clientConn) maxIdle() time.Duration {
	limit := c.forwarder.common.Settings.IdleTimeout
	if c.keepAlive > 0 {
		limit = min(limit, max(c.keepAlive-keepAliveMargin, 0))
	}
	return limit
}

// unusable returns why an idle connection can't be used any more, or nil.
func (c *clientConn) unusable(now time.Time) error {
	switch {
	case c.conn.hasInput():
		return &Error{Operation: "reuse", Kind: KindMalformed, Detail: "response without a request"}
	case now.Sub(c.idleSince) >= c.maxIdle():
		return &Error{Operation: "reuse", Kind: KindCut, Detail: "idle for too long"}
	}
	return nil
}

func (c *clientConn) isHead() bool {
	return c.attempt != nil && c.attempt.exchange.request.message.method == "HEAD" && c.attempt.kind == kindCall
}

// expects reports whether a request waits for a response. Input on an idle connection, even a part of a response, belongs
// to no request.
func (c *clientConn) expects() bool { return c.attempt != nil }

func (c *clientConn) onHead(m *message) error {
	if c.attempt == nil {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "response without a request"}
	}
	if m.status < 200 {
		c.response = nil
		return c.attempt.onInterim(m)
	}
	if c.attempt.isStale(m) {
		return c.skipStale(m)
	}
	c.response = m
	c.attempt.onResponseHead(m)
	return c.limitUnforwarded(m)
}

// skipStale discards a late response to an earlier request; the expected one follows it. It fails if one has been
// discarded before, or if the end of the response is the end of the connection.
func (c *clientConn) skipStale(m *message) error {
	if c.skippedStale || m.length < 0 && !m.chunked {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "response to another request"}
	}
	c.skippedStale = true
	c.response = nil
	f := c.forwarder
	f.stats.UpstreamStale.Add(1)
	c.attempt.exchange.logCall(f.callLog.retries, "response to another call discarded", "of", m.get(f.config.Dialect.RequestID),
		"status", m.status)
	return c.limitUnforwarded(m)
}

func (c *clientConn) onBody(data []byte) error {
	if err := c.countUnforwarded(int64(len(data))); err != nil {
		return err
	}
	switch {
	case c.attempt == nil:
	case c.conn.local && c.attempt.exchange.hasResponseHead(data):
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "response within the body of another"}
	case c.response != nil:
		c.attempt.onResponseBody(data)
	}
	return nil
}

func (c *clientConn) onEnd(surplus bool) error {
	if c.response == nil {
		return nil
	}
	a, m := c.attempt, c.response
	c.response = nil
	if a == nil {
		return nil
	}
	c.conn.resume()
	reusable := !surplus && !c.skippedStale && m.keepAlive() && a.requestSent && (m.length >= 0 || m.chunked || parser.Bodyless(m.status))
	c.attempt = nil
	if !reusable {
		c.discard()
	}
	a.onResponseEnd()
	if reusable {
		c.keepAlive = m.keepAliveTimeout()
		c.pool.put(c)
	}
	return nil
}

func (c *clientConn) onClose(err error) {
	c.pool.onConnClosed(c)
	if a := c.attempt; a != nil {
		c.attempt = nil
		if err == nil {
			err = &Error{Operation: "read", Kind: KindCut, Detail: "connection closed before the response"}
		}
		a.onLost(err)
	}
}

func (c *clientConn) onMalformed(error) bool {
	if c.conn.local {
		c.forwarder.stats.UpstreamMalformed.Add(1)
	}
	return false
}

func (c *clientConn) onDrained() {
	if c.attempt != nil {
		c.attempt.requestDrained()
	}
}

// discard closes the connection, unless it is closed already, because its attempt is cancelled or it can't be reused: a late
// response can't be taken for that of another attempt. onClose counts the close of a connection that its peer has closed.
func (c *clientConn) discard() {
	c.attempt = nil
	if c.conn.closed {
		return
	}
	c.conn.close()
	c.pool.onConnClosed(c)
}
