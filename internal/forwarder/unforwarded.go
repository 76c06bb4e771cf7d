package forwarder

import "github.com/tamarackpitch/tamarackpitch/internal/parser"

// maxUnforwardedBytes limits how much is read of the body of a response that is not forwarded, because it is discarded or
// suppressed. Reading it to its end only keeps the connection, and completes the failure that may become the call's
// fallback, for which the limit is the same.
const maxUnforwardedBytes = maxBufferedResponseBytes

// forwards reports whether the response being read is forwarded.
func (c *clientConn) forwards() bool { return c.response != nil && c.attempt.suppressed == nil }

// limitUnforwarded is called with the head of a response. It returns an error if the response is not forwarded and states
// a body of more than maxUnforwardedBytes.
func (c *clientConn) limitUnforwarded(m *message) error {
	c.unforwardedBytes = 0
	if c.attempt == nil || c.isHead() || parser.Bodyless(m.status) || c.forwards() || m.length <= maxUnforwardedBytes {
		return nil
	}
	return c.cutResponse()
}

// countUnforwarded counts the next bytes of a body. It returns an error if the response is not forwarded and its body
// exceeds maxUnforwardedBytes.
func (c *clientConn) countUnforwarded(n int64) error {
	if c.attempt == nil || c.forwards() {
		return nil
	}
	c.unforwardedBytes += n
	if c.unforwardedBytes <= maxUnforwardedBytes {
		return nil
	}
	return c.cutResponse()
}

// cutResponse returns the error that closes the connection, since the rest of the response is not read.
func (c *clientConn) cutResponse() error {
	c.attempt.responseCut = true
	return &Error{Operation: "read", Kind: KindTooLarge, Detail: "response that is not forwarded"}
}
