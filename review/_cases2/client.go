package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one client attempt.
type request struct {
	id     string
	entry  *machine
	method string
	path   string
	body   string
	sentAt time.Time
	// status is 0 if the connection ended without a complete answer.
	status     int
	answeredAt time.Time
	seal       string
	answer     string
	// leaving is set if the answer says that its backend leaves.
	leaving bool
	err     error
}

// clients sends requests and keeps them.
type clients struct {
	rec  *record
	mu   sync.Mutex
	all  []*request
	wait sync.WaitGroup
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request on a new connection and waits for the answer.
func (c *clients) send(m *machine, method, path, body string, deadline time.Duration) *request {
	r := &request{id: newID(), entry: m, method: method, path: path, body: body, sentAt: time.Now()}
	c.mu.Lock()
	c.all = append(c.all, r)
	c.mu.Unlock()
	c.rec.add("client: sends %s %s %s to %s", r.id, method, path, m.name)
	r.err = r.exchange(deadline)
	r.answeredAt = time.Now()
	c.rec.add("client: %s answered %d after %v seal=%q error=%v", r.id, r.status, r.answeredAt.Sub(r.sentAt).Round(time.Millisecond),
		r.seal, r.err)
	return r
}

func (r *request) exchange(deadline time.Duration) error {
	return r.exchangeH(deadline, func(http.Header) {})
}

func (r *request) exchangeH(deadline time.Duration, onHead func(http.Header)) error {
	conn, err := net.DialTimeout("tcp", r.entry.at(portOutbound), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Mesh-Attempt-Id: %s\r\nX-Mesh-Deadline-Ms: %d\r\n", r.method, r.path, r.id,
		deadline.Milliseconds())
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	onHead(answer.Header)
	text, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		return err
	}
	r.status, r.seal, r.answer = answer.StatusCode, answer.Header.Get("X-Mesh-Response-Seal"), string(text)
	r.leaving = answer.Header.Get("Server-Leaving") == "1"
	return nil
}

// load sends requests to a machine at a rate until stop is closed.
func (c *clients) load(m *machine, perSecond float64, stop chan struct{}, method, path, body string, deadline time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.send(m, method, path, body, deadline)
		}()
	}
}
