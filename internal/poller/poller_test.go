package poller_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio"

	"github.com/tamarackpitch/tamarackpitch/internal/poller"
)

const (
	readTimeout = 5 * time.Second
	stopTimeout = 10 * time.Second
)

// testPoller is a poller whose read handlers are chosen by the first byte of the input. Other input is echoed.
type testPoller struct {
	poller   *poller.Poller
	listener net.Listener
	handlers map[byte]func(*nbio.Conn)
	// opened receives each connection that the poller has registered.
	opened chan *nbio.Conn
	// stopOnCleanup is unset by tests that stop the poller themselves.
	stopOnCleanup bool
}

func newTestPoller(t *testing.T) *testPoller {
	t.Helper()
	p := &testPoller{handlers: map[byte]func(*nbio.Conn){}, opened: make(chan *nbio.Conn, 64), stopOnCleanup: true}
	var err error
	p.listener, err = net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = p.listener.Close() })
	p.poller, err = poller.New(poller.Config{OnClose: func(*nbio.Conn, error) {}, OnRead: p.onRead, OnWritten: func(*nbio.Conn, int) {}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		if p.stopOnCleanup {
			p.poller.Stop()
		}
	})
	return p
}

func (p *testPoller) onOpen(c *nbio.Conn, _ error) { p.opened <- c }

func (p *testPoller) onRead(c *nbio.Conn) {
	buffer := make([]byte, 16)
	for {
		n, err := c.Read(buffer)
		if err != nil || n == 0 {
			return
		}
		if handle := p.handlers[buffer[0]]; handle != nil {
			handle(c)
			continue
		}
		_, _ = c.Write(buffer[:n])
	}
}

// connect returns both ends of a connection that is not added to the poller.
func (p *testPoller) connect(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	dialled, err := net.Dial("tcp", p.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialled.Close() })
	server, err = p.listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	return dialled.(*net.TCPConn), server
}

// open returns both ends of a connection whose server end the poller has registered.
func (p *testPoller) open(t *testing.T) (client *net.TCPConn, server *nbio.Conn) {
	t.Helper()
	client, accepted := p.connect(t)
	qt.Assert(t, p.poller.Add(accepted, p.onOpen), qt.IsNil)
	return client, <-p.opened
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	qt.Assert(t, err, qt.IsNil)
}

// TestResetOfAnEarlierConnection closes a connection whose reset the loop has fetched but not yet handled, while a new
// connection gets its descriptor: the reset must not close the new connection.
func TestResetOfAnEarlierConnection(t *testing.T) {
	p := newTestPoller(t)
	blockingClient, _ := p.open(t)
	closingClient, _ := p.open(t)
	resetClient, reset := p.open(t)

	var fresh []net.Conn
	var freshClients []*net.TCPConn
	for range 16 {
		client, server := p.connect(t)
		fresh, freshClients = append(fresh, server), append(freshClients, client)
	}
	blocked, unblock := make(chan struct{}), make(chan struct{})
	p.handlers['b'] = func(*nbio.Conn) {
		close(blocked)
		<-unblock
	}
	sameDescriptor := make(chan bool, len(fresh))
	p.handlers['c'] = func(*nbio.Conn) {
		descriptor := reset.Hash()
		_ = reset.Close()
		for _, f := range fresh {
			_ = p.poller.Add(f, p.onOpen)
		}
		for range fresh {
			go func() { sameDescriptor <- (<-p.opened).Hash() == descriptor }()
		}
	}
	// While a handler blocks the loop, the input that closes the connection and the reset of that connection are
	// queued, in this order, for the loop's next batch.
	send(t, blockingClient, "b")
	<-blocked
	send(t, closingClient, "c")
	qt.Assert(t, resetClient.SetLinger(0), qt.IsNil)
	qt.Assert(t, resetClient.Close(), qt.IsNil)
	close(unblock)

	descriptorReused := false
	for range fresh {
		descriptorReused = <-sameDescriptor || descriptorReused
	}
	qt.Assert(t, descriptorReused, qt.IsTrue, qt.Commentf("no new connection got the closed connection's descriptor"))
	for _, c := range freshClients {
		send(t, c, "x")
		qt.Assert(t, c.SetReadDeadline(time.Now().Add(readTimeout)), qt.IsNil)
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.IsNil)
	}
}

// stopper stops a poller on its own goroutine.
type stopper struct {
	poller *poller.Poller
	// begun is closed before Stop is called, done after it has returned.
	begun, done chan struct{}
}

func (s *stopper) run() {
	close(s.begun)
	s.poller.Stop()
	close(s.done)
}

// stopDuringRegistration stops a poller while the loop is in the callback of the first of several connections that it
// has taken from the queue, and one more connection is queued after them. It returns the results of all callbacks.
func stopDuringRegistration(t *testing.T) (results []error, clients []*net.TCPConn) {
	t.Helper()
	const together = 8
	p := newTestPoller(t)
	p.stopOnCleanup = false
	blockingClient, _ := p.open(t)
	blocked, unblock := make(chan struct{}), make(chan struct{})
	opened := make(chan error, together+1)
	inCallback, leave := make(chan struct{}), make(chan struct{})
	add := func(opened func(*nbio.Conn, error)) {
		client, server := p.connect(t)
		clients = append(clients, client)
		qt.Assert(t, p.poller.Add(server, opened), qt.IsNil)
	}
	record := func(_ *nbio.Conn, err error) { opened <- err }

	// The first connection alone is taken at the first wake-up; those added while the loop is blocked are taken together
	// at the next one.
	p.handlers['b'] = func(*nbio.Conn) {
		close(blocked)
		<-unblock
	}
	send(t, blockingClient, "b")
	<-blocked
	add(record)
	add(func(c *nbio.Conn, err error) {
		record(c, err)
		close(inCallback)
		<-leave
	})
	for range together - 2 {
		add(record)
	}
	close(unblock)
	<-inCallback
	add(record)

	s := &stopper{poller: p.poller, begun: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	<-s.begun
	// Stop gets time to begin; whatever it has done by then, all that is asserted must hold.
	time.Sleep(50 * time.Millisecond)
	close(leave)
	select {
	case <-s.done:
	case <-time.After(stopTimeout):
		t.Fatalf("Stop has not returned after %v", stopTimeout)
	}
	for len(opened) > 0 {
		results = append(results, <-opened)
	}
	qt.Assert(t, results, qt.HasLen, len(clients))
	return results, clients
}

// TestStopDuringRegistration asserts that Stop, called while the loop registers connections, returns with every
// callback called and every connection closed, and that connections still in the queue are not registered.
func TestStopDuringRegistration(t *testing.T) {
	results, clients := stopDuringRegistration(t)
	var e *poller.Error
	last := results[len(results)-1]
	qt.Assert(t, errors.As(last, &e), qt.IsTrue, qt.Commentf("result of the connection queued last: %v", last))
	qt.Assert(t, e.Kind, qt.Equals, poller.KindClosed)
	for _, c := range clients {
		qt.Assert(t, c.SetReadDeadline(time.Now().Add(readTimeout)), qt.IsNil)
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	}
}

// TestAddAfterStop asserts that a stopped poller takes no connection.
func TestAddAfterStop(t *testing.T) {
	p := newTestPoller(t)
	p.stopOnCleanup = false
	_, server := p.connect(t)
	p.poller.Stop()
	err := p.poller.Add(server, func(*nbio.Conn, error) { t.Error("callback of a connection that was not taken") })
	var e *poller.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Kind, qt.Equals, poller.KindClosed)
}
