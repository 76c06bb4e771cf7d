// Package poller runs connections on one epoll event loop and delivers each event to the connection that raised it,
// also when file descriptors are reused.
//
// The loop fetches events in batches and looks up their connections by file descriptor. If a connection is closed while
// its event is still in the batch, and a new connection gets its descriptor, the event would be delivered to the new
// one: a reset of the old connection would close the new one. New connections are therefore registered only on a
// wake-up event that was sent after their descriptor was opened: the batch with that event was fetched later, and so
// holds no event of an earlier connection with the same descriptor.
package poller

import (
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// Config configures a Poller.
type Config struct {
	// OnClose is called on its own goroutine.
	OnClose func(*nbio.Conn, error)
	// OnRead is called on the loop when a connection becomes readable. Events are edge-triggered, so that it must read
	// until no input is left.
	OnRead func(*nbio.Conn)
	// OnWritten is called with the number of bytes that the kernel has accepted, on the goroutine that wrote them.
	OnWritten func(*nbio.Conn, int)
}

// pendingConn is a connection that the loop has not registered yet.
type pendingConn struct {
	connection *nbio.Conn
	// opened is called on the loop once the connection is registered, or with an error if it was closed instead.
	opened func(*nbio.Conn, error)
}

// Poller runs connections on one event loop. It is safe for concurrent use.
type Poller struct {
	config Config
	engine *nbio.Engine
	waker  *waker

	mu sync.Mutex
	// current holds the connections to register on the wake-up that has been sent, next those that were added after it.
	// next is empty if current is.
	current, next []pendingConn
	// stopped is set by Stop. From then on Add fails, and the loop closes what is queued.
	stopped bool
	// probe is the probe whose event the loop has not handled yet, or nil.
	probe *probe

	// rejected is closed by the loop once stopped is set and both queues are empty: no connection is registered, and no
	// opened callback called, from then on.
	rejected chan struct{}
	// rejectedOnce guards the close of rejected.
	rejectedOnce sync.Once
}

// New returns a running Poller. It silences the logging of nbio.
func New(c Config) (*Poller, error) {
	logging.SetLevel(logging.LevelNone)
	w, err := newWaker()
	if err != nil {
		return nil, err
	}
	p := &Poller{config: c, waker: w, rejected: make(chan struct{})}
	p.engine = nbio.NewEngine(nbio.Config{NPoller: 1, EpollMod: nbio.EPOLLET})
	p.engine.OnClose(p.onClose)
	p.engine.OnRead(p.onRead)
	p.engine.OnWrittenSize(p.onWritten)
	if err = p.engine.Start(); err == nil {
		_, err = p.engine.AddConn(w.readEnd)
	}
	if err != nil {
		w.close()
		return nil, &Error{Operation: "new", Kind: KindStart, Detail: err.Error()}
	}
	return p, nil
}

// Add passes a connection to the loop. opened is called on the loop before the first event, or with an error if the
// connection could not be registered or the poller was stopped before, and the connection was closed. If Add itself
// fails, it closes the connection and opened is not called.
func (p *Poller) Add(connection net.Conn, opened func(*nbio.Conn, error)) error {
	c, err := nbio.NBConn(connection)
	if err != nil {
		_ = connection.Close()
		return &Error{Operation: "add", Kind: KindAdd, Detail: err.Error()}
	}
	n := pendingConn{connection: c, opened: opened}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		_ = c.Close()
		return errStopped()
	}
	if len(p.current) > 0 {
		p.next = append(p.next, n)
		return nil
	}
	p.current = append(p.current, n)
	p.waker.wake()
	return nil
}

// registerPending registers the current connections and sends a wake-up for the next ones. Once the poller is stopped it
// closes all of them instead. It runs on the loop.
func (p *Poller) registerPending() {
	p.mu.Lock()
	if p.stopped {
		queued := append(p.current, p.next...)
		p.current, p.next = nil, nil
		p.mu.Unlock()
		p.reject(queued)
		return
	}
	batch := p.current
	p.current, p.next = p.next, nil
	if len(p.current) > 0 {
		p.waker.wake()
	}
	p.mu.Unlock()
	for _, n := range batch {
		if _, err := p.engine.AddConn(n.connection); err != nil {
			n.opened(nil, &Error{Operation: "add", Kind: KindAdd, Detail: err.Error()})
			continue
		}
		n.opened(n.connection, nil)
	}
}

// reject closes connections that were queued when the poller was stopped.
func (p *Poller) reject(queued []pendingConn) {
	for _, n := range queued {
		_ = n.connection.Close()
		n.opened(nil, errStopped())
	}
	p.rejectedOnce.Do(func() { close(p.rejected) })
}

func errStopped() error { return &Error{Operation: "add", Kind: KindClosed, Detail: "poller stopped"} }

func (p *Poller) onRead(c *nbio.Conn) {
	if p.waker.isReadEnd(c) {
		p.waker.drain()
		p.finishProbe(time.Now())
		p.registerPending()
		return
	}
	p.config.OnRead(c)
}

func (p *Poller) onClose(c *nbio.Conn, err error) {
	if !p.waker.isReadEnd(c) {
		p.config.OnClose(c, err)
	}
}

func (p *Poller) onWritten(c *nbio.Conn, _ []byte, count int) { p.config.OnWritten(c, count) }

// Async calls a function on its own goroutine.
func (p *Poller) Async(call func()) { p.engine.Async(call) }

// Stop stops the loop and closes all connections. It waits for the last callback of each one that Add has taken. The
// engine must not begin to stop while the loop still registers connections: it would miss those that it registers
// later. Stop must be called once, and not on the loop.
func (p *Poller) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.waker.wake()
	<-p.rejected
	p.engine.Stop()
	p.waker.close()
}
