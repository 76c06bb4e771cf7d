package poller_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio"

	"github.com/tamarackpitch/tamarackpitch/internal/poller"
)

const readTimeout = 5 * time.Second

// testPoller is a poller whose read handlers are chosen by the first byte of the input. Other input is echoed.
type testPoller struct {
	poller   *poller.Poller
	listener net.Listener
	handlers map[byte]func(*nbio.Conn)
	// opened receives each connection that the poller has registered.
	opened chan *nbio.Conn
}

func newTestPoller(t *testing.T) *testPoller {
	t.Helper()
	p := &testPoller{handlers: map[byte]func(*nbio.Conn){}, opened: make(chan *nbio.Conn, 64)}
	var err error
	p.listener, err = net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = p.listener.Close() })
	p.poller, err = poller.New(poller.Config{OnClose: func(*nbio.Conn, error) {}, OnRead: p.onRead, OnWritten: func(*nbio.Conn, int) {}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.poller.Stop)
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
