package forwarder

import "time"

// clientConn is a connection to another node or to the upstream. It carries one call at a time.
type clientConn struct {
	forwarder *Forwarder
	pool      *pool
	conn      *conn
	// attempt is the call on the connection, or nil while it is idle.
	attempt   *attempt
	idleSince time.Time
	// reused tells that the connection has carried another call before.
	reused bool
	answer *message
	// skipped tells that a late answer to an earlier request has been passed over.
	skipped bool
}

func (c *clientConn) isHead() bool {
	return c.attempt != nil && c.attempt.exchange.request.message.method == "HEAD" && c.attempt.kind == kindCall
}

func (c *clientConn) onHead(m *message) error {
	if c.attempt == nil {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "answer without a request"}
	}
	if m.status == 101 {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "unrequested protocol change"}
	}
	if m.status < 200 {
		c.answer = nil
		return c.attempt.interim(m)
	}
	if c.attempt.isForeign(m) {
		return c.skip(m)
	}
	c.answer = m
	c.attempt.answerHead(m)
	return nil
}

// skip passes over an answer to an earlier request. The one that was asked for follows it, unless
// the end of the late one can't be told.
func (c *clientConn) skip(m *message) error {
	if c.skipped || m.length < 0 && !m.chunked {
		return &Error{Operation: "read", Kind: KindMalformed, Detail: "answer to another request"}
	}
	c.skipped = true
	c.answer = nil
	return nil
}

func (c *clientConn) onBody(data []byte) error {
	if c.attempt != nil && c.answer != nil {
		c.attempt.answerBody(data)
	}
	return nil
}

func (c *clientConn) onEnd() error {
	if c.answer == nil {
		return nil
	}
	a, m := c.attempt, c.answer
	c.answer = nil
	if a == nil {
		return nil
	}
	c.conn.resume()
	reusable := m.keepAlive() && a.requestSent && (m.length >= 0 || m.chunked || bodyless(m.status))
	c.attempt = nil
	if !reusable {
		c.conn.close()
		c.pool.removed(c)
	}
	a.answerEnd()
	if reusable {
		c.pool.put(c)
	}
	return nil
}

func (c *clientConn) onClose(err error) {
	c.pool.removed(c)
	if a := c.attempt; a != nil {
		c.attempt = nil
		if err == nil {
			err = &Error{Operation: "read", Kind: KindCut, Detail: "connection closed before the answer"}
		}
		a.lost(err)
	}
}

func (c *clientConn) onMalformed(error) {}

func (c *clientConn) onDrained() {
	if c.attempt != nil {
		c.attempt.requestDrained()
	}
}

// drop ends the connection because its call is abandoned: a late answer ends with it.
func (c *clientConn) drop() {
	c.attempt = nil
	if c.conn.closed {
		return
	}
	c.conn.close()
	c.pool.removed(c)
}
