package stutterer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	dialTimeout = time.Second
	// patience is how long a caller waits beyond the deadline that it states.
	patience = time.Second
)

// callerConn is a connection of a caller to a node. It carries one request at a time.
type callerConn struct {
	ledger *ledger
	conn   net.Conn
	in     *bufio.Reader
	// lastByte is the last one received.
	lastByte byte
	// origin is the service of the VM.
	origin string
	// last is the history of the last request, or nil.
	last *history
	// ended is set if the connection can't carry another request.
	ended bool
}

func newCallerConn(l *ledger, conn net.Conn, origin string) *callerConn {
	c := &callerConn{ledger: l, conn: conn, origin: origin}
	c.in = bufio.NewReader(c)
	return c
}

// Read implements io.Reader for the buffered reader.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 {
		c.lastByte = b[n-1]
	}
	return n, err
}

// call sends a request and returns the answer, which it records.
func (c *callerConn) call(q request, from string) answer {
	c.last = c.ledger.open(q, c.origin, from)
	a := c.exchange(q)
	c.ledger.close(c.last, a)
	return a
}

func (c *callerConn) exchange(q request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + patience))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.target.prefix, q.id, host, wire.RequestID, q.id,
		wire.TimeLeft, q.deadline.Milliseconds())
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return c.lost(err)
	}
	for {
		response, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
		if err != nil {
			return c.lost(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case err != nil:
			return c.lost(err)
		case response.Close:
			c.close()
		case response.StatusCode < http.StatusOK:
			continue
		}
		a := answer{status: response.StatusCode, seal: response.Header.Get(wire.Seal)}
		a.whole = bytes.Equal(body, repeat(a.seal, len(body))) && strings.HasSuffix(a.seal, fmt.Sprintf(";%d;%d", len(body), a.status))
		return a
	}
}

// lost ends the connection and returns the answer to a request that got no complete one. An answer may be cut off within
// a line, for which net/http does not report the end of the input.
func (c *callerConn) lost(err error) answer {
	_, next := c.in.Peek(1)
	cutOff := isEnd(err) || isEnd(next) && c.lastByte != '\n'
	c.close()
	return answer{lost: err.Error(), malformed: !cutOff}
}

// isEnd reports whether an error is the end of a connection, or the end of the time to wait for it.
func isEnd(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// checkIdle waits for input while no request is waiting. It counts against the last request.
func (c *callerConn) checkIdle(wait time.Duration) {
	if c.last == nil || c.ended {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	_, err := c.in.Peek(1)
	var network net.Error
	switch n := c.in.Buffered(); {
	case n > 0:
		text, _ := c.in.Peek(n)
		c.close()
		c.ledger.close(c.last, answer{lost: fmt.Sprintf("with no request waiting: %q", text), malformed: true})
	case !errors.As(err, &network) || !network.Timeout():
		c.close()
	}
}

func (c *callerConn) close() {
	c.ended = true
	_ = c.conn.Close()
}
