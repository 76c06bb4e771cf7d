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
	// patience is how long a caller waits for an answer beyond the deadline that it states.
	patience = time.Second
)

// request is a request as a caller sends it.
type request struct {
	id       string
	method   string
	host     string
	path     string
	body     []byte
	deadline time.Duration
}

// callerConn is a connection of a caller to a node. It carries one request at a time.
type callerConn struct {
	conn net.Conn
	in   *bufio.Reader
	// last is the history of the last request.
	last *history
	// ended is set if the connection can't carry another request.
	ended bool
}

func dial(address string) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &callerConn{conn: c, in: bufio.NewReader(c)}, nil
}

// call sends a request and reads the answer.
func (c *callerConn) call(r request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + patience))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, r.host, wire.RequestID, r.id,
		wire.TimeLeft, r.deadline.Milliseconds())
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return c.failed(err)
	}
	for {
		response, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
		if err != nil {
			return c.failed(err)
		}
		a := c.read(response)
		if response.StatusCode >= http.StatusOK || a.lost {
			return a
		}
	}
}

// read reads the body of an answer.
func (c *callerConn) read(response *http.Response) answer {
	a := answer{status: response.StatusCode, seal: response.Header.Get(wire.Seal)}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		f := c.failed(err)
		f.status, f.seal = a.status, a.seal
		return f
	}
	a.whole = bytes.Equal(body, bodyOf(a.seal, len(body))) && strings.HasSuffix(a.seal, fmt.Sprintf(";%d;%d", len(body), a.status))
	if response.Close {
		c.close()
	}
	return a
}

// failed returns the answer of a request without a complete answer.
func (c *callerConn) failed(err error) answer {
	c.close()
	a := answer{lost: true, detail: err.Error()}
	var network net.Error
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) {
		a.malformed = "not a response: " + err.Error()
	}
	return a
}

// unrequested waits for bytes while no request is waiting, and describes them.
func (c *callerConn) unrequested(wait time.Duration) string {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	_, err := c.in.Peek(1)
	if n := c.in.Buffered(); n > 0 {
		c.close()
		text, _ := c.in.Peek(min(n, maxJunk))
		return fmt.Sprintf("bytes with no request waiting: %q", text)
	}
	var network net.Error
	if !errors.As(err, &network) || !network.Timeout() {
		c.close()
	}
	return ""
}

func (c *callerConn) close() {
	c.ended = true
	_ = c.conn.Close()
}
