package stutterer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minIdle and maxIdle are the times after which an upstream closes an idle connection.
	minIdle = 300 * time.Millisecond
	maxIdle = 5 * time.Second
	// readTimeout bounds the time that a request takes to arrive once it has begun.
	readTimeout = 5 * time.Second
)

// upstreamConn is a connection to an upstream. It carries one request at a time. An end of the connection is noticed
// when the next request is read or a response is written; until then the run goes on.
type upstreamConn struct {
	upstream *upstream
	conn     net.Conn
	name     string
	// idle is how long the connection may be idle.
	idle time.Duration
	// mu keeps responses apart.
	mu sync.Mutex
}

func (c *upstreamConn) run() {
	defer c.upstream.forget(c)
	in := bufio.NewReader(c.conn)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.idle))
		if _, err := in.Peek(1); err != nil {
			return
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(readTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !c.serve(r, body) {
			return
		}
	}
}

// serve responds to a request. It reports whether the connection stays open.
func (c *upstreamConn) serve(r *http.Request, body []byte) bool {
	u, l := c.upstream, c.upstream.soak.ledger
	received := time.Now()
	id := r.Header.Get(wire.RequestID)
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != u.id {
		return c.refuse(id, http.StatusMisdirectedRequest)
	}
	if !u.enter() {
		return c.refuse(id, http.StatusServiceUnavailable)
	}
	defer u.leave()
	run, ordinal := l.begin(id, u.id, c.name)
	if service := r.Header.Get(wire.CallerService); service != run.history.origin {
		l.odd(run.history, "%s is %q instead of %q", wire.CallerService, service, run.history.origin)
	}
	if !bytes.Equal(body, requestBody(id, len(body))) {
		l.odd(run.history, "the body of %d bytes was changed", len(body))
	}
	d := &drawer{chances: u.soak.config.Chances, random: rand.New(rand.NewPCG(u.soak.config.Seed, xxhash.Sum64String(id)+uint64(ordinal)))}
	ms, err := strconv.ParseFloat(r.Header.Get(wire.TimeLeft), 64)
	if err != nil {
		l.odd(run.history, "%s is %q", wire.TimeLeft, r.Header.Get(wire.TimeLeft))
	}
	deadline := received.Add(time.Duration(ms * float64(time.Millisecond)))
	time.Sleep(d.work())
	status, length := http.StatusOK, d.length()
	failed := d.hit(d.chances.Fail)
	if u.vm.service == serviceOuter && d.hit(d.chances.Inner) {
		failed = !u.vm.callInner(run, ordinal, d, deadline) || failed
	}
	switch {
	case time.Now().After(deadline):
		status = http.StatusGatewayTimeout
	case failed:
		status = http.StatusInternalServerError
	}
	p := d.plan(run, status, length)
	l.decide(run, status, length)
	l.note(run.history, "%s", p.text)
	if p.late != nil {
		l.count("second-responses")
	}
	if !c.play(p.first) {
		l.note(run.history, "run %d: its connection has ended", run.number)
		return false
	}
	if p.late != nil {
		go (&lateResponse{conn: c, script: *p.late}).run()
	}
	return true
}

// refuse responds that the upstream does not run a request.
func (c *upstreamConn) refuse(id string, status int) bool {
	c.upstream.soak.ledger.count(fmt.Sprintf("%d-of-upstream", status))
	text := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, wire.RequestID, id, wire.NotExecuted)
	return c.play(script{steps: []step{{data: []byte(text)}}})
}

// play carries out a script. It reports whether the connection stays open.
func (c *upstreamConn) play(s script) bool {
	if len(s.steps) > 0 {
		time.Sleep(s.steps[0].pause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range s.steps {
		if i > 0 {
			time.Sleep(p.pause)
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(readTimeout))
		if _, err := c.conn.Write(p.data); err != nil {
			return false
		}
	}
	if s.ending == endReset {
		c.reset()
	}
	return s.ending == endOpen
}

// reset resets the connection.
func (c *upstreamConn) reset() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.conn.Close()
}

// lateResponse is a second response that is sent while the connection goes on.
type lateResponse struct {
	conn   *upstreamConn
	script script
}

func (l *lateResponse) run() { l.conn.play(l.script) }
