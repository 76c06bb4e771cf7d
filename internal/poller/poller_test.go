package poller_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio"

	"github.com/tamarackpitch/tamarackpitch/internal/poller"
)

const patience = 5 * time.Second

// bench is a poller with handlers for chosen connections. Others echo what they read.
type bench struct {
	poller   *poller.Poller
	listener net.Listener
	handlers map[byte]func(*nbio.Conn)
	// opened receives each connection that the poller has taken over.
	opened chan *nbio.Conn
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{handlers: map[byte]func(*nbio.Conn){}, opened: make(chan *nbio.Conn, 64)}
	var err error
	b.listener, err = net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = b.listener.Close() })
	b.poller, err = poller.New(poller.Config{OnClose: func(*nbio.Conn, error) {}, OnRead: b.onRead, OnWritten: func(*nbio.Conn, int) {}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(b.poller.Stop)
	return b
}

func (b *bench) onOpen(c *nbio.Conn, _ error) { b.opened <- c }

func (b *bench) onRead(c *nbio.Conn) {
	buffer := make([]byte, 16)
	for {
		n, err := c.Read(buffer)
		if err != nil || n == 0 {
			return
		}
		if handle := b.handlers[buffer[0]]; handle != nil {
			handle(c)
			continue
		}
		_, _ = c.Write(buffer[:n])
	}
}

// connect returns both ends of a connection that no poller has.
func (b *bench) connect(t *testing.T) (client *net.TCPConn, server net.Conn) {
	t.Helper()
	dialled, err := net.Dial("tcp", b.listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialled.Close() })
	server, err = b.listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	return dialled.(*net.TCPConn), server
}

// open returns both ends of a connection that the poller runs.
func (b *bench) open(t *testing.T) (client *net.TCPConn, server *nbio.Conn) {
	t.Helper()
	client, accepted := b.connect(t)
	qt.Assert(t, b.poller.Add(accepted, b.onOpen), qt.IsNil)
	return client, <-b.opened
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	qt.Assert(t, err, qt.IsNil)
}

// TestResetOfAnEarlierConnection closes a connection whose reset the loop has fetched and not yet handled, while new
// connections get its descriptor: they stay open.
func TestResetOfAnEarlierConnection(t *testing.T) {
	b := newBench(t)
	gateClient, _ := b.open(t)
	closerClient, _ := b.open(t)
	resetClient, reset := b.open(t)

	var fresh []net.Conn
	var freshClients []*net.TCPConn
	for range 16 {
		client, server := b.connect(t)
		fresh, freshClients = append(fresh, server), append(freshClients, client)
	}
	atGate, leaveGate := make(chan struct{}), make(chan struct{})
	b.handlers['g'] = func(*nbio.Conn) {
		close(atGate)
		<-leaveGate
	}
	reused := make(chan bool, len(fresh))
	b.handlers['c'] = func(*nbio.Conn) {
		descriptor := reset.Hash()
		_ = reset.Close()
		for _, f := range fresh {
			_ = b.poller.Add(f, b.onOpen)
		}
		for range fresh {
			go func() { reused <- (<-b.opened).Hash() == descriptor }()
		}
	}
	// While the loop is held at the gate, the closing and the reset come up for its next round, in this order.
	send(t, gateClient, "g")
	<-atGate
	send(t, closerClient, "c")
	qt.Assert(t, resetClient.SetLinger(0), qt.IsNil)
	qt.Assert(t, resetClient.Close(), qt.IsNil)
	close(leaveGate)

	gotDescriptor := false
	for range fresh {
		gotDescriptor = <-reused || gotDescriptor
	}
	qt.Assert(t, gotDescriptor, qt.IsTrue, qt.Commentf("no new connection got the descriptor"))
	for _, c := range freshClients {
		send(t, c, "x")
		qt.Assert(t, c.SetReadDeadline(time.Now().Add(patience)), qt.IsNil)
		_, err := c.Read(make([]byte, 1))
		qt.Assert(t, err, qt.IsNil)
	}
}
