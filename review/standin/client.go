package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// clientConn is a kept connection of a client to the node of its machine.
type clientConn struct {
	d      *deployment
	socket net.Conn
	reader *bufio.Reader
	// ended is set once the connection can't be used again.
	ended bool
}

// request is a request of a client: one attempt.
type request struct {
	method, host, path string
	deadline           time.Duration
	body               []byte
}

// result is what the client saw.
type result struct {
	id           string
	sent, end    time.Time
	status       int
	seal         string
	runHeader    string
	size         int
	whole        bool
	keptOpen     bool
	err          error
	gaveUp       bool
	headReceived time.Time
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v after %.0f ms", r.status, r.size, r.err, r.end.Sub(r.sent).Seconds()*1000)
	}
	by := "of a backend"
	if r.seal == "" {
		by = "of the system's own"
	}
	return fmt.Sprintf("%d %s, %d bytes, after %.0f ms", r.status, by, r.size, r.end.Sub(r.sent).Seconds()*1000)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func dial(m *machine) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{d: m.d, socket: c, reader: bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer. The client gives up at its deadline and closes the connection then.
func (c *clientConn) do(who string, q request) result {
	r := result{id: newID(), sent: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Mesh-Attempt-Id: %s\r\nX-Mesh-Deadline-Ms: %d\r\n", q.method, q.path, q.host,
		r.id, q.deadline.Milliseconds())
	if q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_ = c.socket.SetDeadline(r.sent.Add(q.deadline))
	c.d.record.logAt(r.sent, who, "sends %s %s %s", r.id, q.method, q.path)
	if _, err := c.socket.Write(append([]byte(head+"\r\n"), q.body...)); err != nil {
		return c.fail(who, r, err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return c.fail(who, r, err)
	}
	r.headReceived = time.Now()
	r.status, r.seal, r.runHeader = response.StatusCode, response.Header.Get("X-Mesh-Response-Seal"), response.Header.Get("Tamarackpitch-Run")
	n, err := io.Copy(io.Discard, response.Body)
	r.size = int(n)
	if err != nil {
		return c.fail(who, r, err)
	}
	r.end, r.whole, r.keptOpen = time.Now(), true, !response.Close
	c.ended = response.Close
	if c.ended {
		_ = c.socket.Close()
	}
	c.d.record.logAt(r.end, who, "gets for %s: %s", r.id, r)
	return r
}

func (c *clientConn) fail(who string, r result, err error) result {
	r.end, r.err = time.Now(), err
	if e, ok := err.(net.Error); ok && e.Timeout() {
		r.gaveUp = true
	}
	c.ended = true
	_ = c.socket.Close()
	c.d.record.logAt(r.end, who, "gets for %s: %s", r.id, r)
	return r
}
