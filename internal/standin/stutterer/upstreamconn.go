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

// ioTimeout bounds the time to read a request once it has begun, and to write a response.
const ioTimeout = 5 * time.Second

// upstreamConn is a connection to an upstream. It carries one request at a time. A run goes on to its end even if the
// connection ends meanwhile.
type upstreamConn struct {
	upstream *upstream
	conn     net.Conn
	name     string
	// idle is how long the connection may be idle.
	idle time.Duration
	// earlier describes the second responses on the connection, for the timelines of later requests.
	earlier []string
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
		_ = c.conn.SetReadDeadline(time.Now().Add(ioTimeout))
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
	u := c.upstream
	id := r.Header.Get(wire.RequestID)
	ms, err := strconv.ParseFloat(r.Header.Get(wire.TimeLeft), 64)
	deadline := time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != u.id {
		return c.refuse(id, http.StatusMisdirectedRequest)
	}
	if !u.enter() {
		return c.refuse(id, http.StatusServiceUnavailable)
	}
	defer u.leave()
	l := u.vm.soak.ledger
	run, ordinal := l.begin(id, u.id, u.service, c.name)
	if !u.mayRun() {
		l.addRunAfterLeave(run)
	}
	for _, text := range c.earlier {
		l.note(run, "earlier on the connection: "+text)
	}
	origin := r.Header.Get(wire.CallerService)
	if err != nil || origin != run.history.origin || !bytes.Equal(body, repeat(id, len(body))) {
		l.addUnrequested(run, fmt.Sprintf("it came with %v and a body of %d bytes", r.Header, len(body)))
	}
	seed := u.vm.soak.config.Seed
	d := &drawer{chances: u.vm.soak.config.Chances, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(id)+uint64(ordinal)))}
	response := d.response(run, u.work(run, ordinal, d, deadline), d.length())
	if d.hit(d.chances.Malformed) {
		// The run keeps no seal, so that no answer with one is its response.
		malformed := d.malformed(response)
		l.note(run, malformed.text)
		l.count("malformed-responses")
		return c.play(malformed)
	}
	first := d.first(response)
	l.decide(run, response.status, response.length, first.text)
	open := c.play(first)
	if !open || !d.hit(d.chances.Second) {
		l.note(run, fmt.Sprintf("response written, open %t", open))
		return open
	}
	second := d.second(run, response)
	l.note(run, second.text)
	c.earlier = append(c.earlier, fmt.Sprintf("run %d, %s", run.number, second.text))
	l.count("second-responses")
	go (&lateResponse{conn: c, script: second}).run()
	return true
}

// refuse responds that the upstream does not run a request.
func (c *upstreamConn) refuse(id string, status int) bool {
	c.upstream.vm.soak.ledger.count(fmt.Sprintf("upstream-refusals-%d", status))
	text := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, wire.RequestID, id, wire.NotExecuted)
	return c.play(script{steps: []step{{data: []byte(text)}}})
}

// play carries out a script. It reports whether the connection stays open.
func (c *upstreamConn) play(s script) bool {
	time.Sleep(s.steps[0].pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range s.steps {
		if i > 0 {
			time.Sleep(p.pause)
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(ioTimeout))
		if _, err := c.conn.Write(p.data); err != nil {
			return false
		}
	}
	// The connection ends before a late response can be taken for a part of a body that ends with the connection.
	switch s.ending {
	case endReset:
		c.reset()
	case endClose:
		_ = c.conn.Close()
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

// lateResponse is a second response, which is sent while the connection goes on.
type lateResponse struct {
	conn   *upstreamConn
	script script
}

func (r *lateResponse) run() { r.conn.play(r.script) }
