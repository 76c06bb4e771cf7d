// Package poller runs connections on one event loop, so that an event never meets another connection than its own.
//
// The loop fetches many events at once and finds their connections by descriptor. Where a connection is closed while its
// event waits, and a new one got its descriptor at once, the event would be taken for the new one's: a reset of the old
// connection would close the new one. New connections are therefore taken over between two fetches: a wake-up that is
// sent after the descriptor was opened comes with a fetch that holds no event of the descriptor's earlier life.
package poller

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// Config builds a Poller. OnRead is called on the loop, OnWritten by whoever writes to a connection.
type Config struct {
	// OnClose is called on a goroutine of its own.
	OnClose func(*nbio.Conn, error)
	// OnRead must read until nothing is left.
	OnRead func(*nbio.Conn)
	// OnWritten is told the bytes that the kernel has taken.
	OnWritten func(*nbio.Conn, int)
}

// newcomer is a connection that the loop has not taken over.
type newcomer struct {
	connection *nbio.Conn
	// opened is called on the loop once the connection has been taken over, or with the reason why not.
	opened func(*nbio.Conn, error)
}

// Poller runs connections.
type Poller struct {
	config Config
	engine *nbio.Engine
	waker  *waker

	mu sync.Mutex
	// covered came before the latest wake-up, waiting after it. Waiting is empty unless covered is not.
	covered, waiting []newcomer
	stopped          bool
}

// New starts the loop.
func New(c Config) (*Poller, error) {
	logging.SetLevel(logging.LevelNone)
	w, err := newWaker()
	if err != nil {
		return nil, err
	}
	p := &Poller{config: c, waker: w}
	p.engine = nbio.NewEngine(nbio.Config{NPoller: 1, EpollMod: nbio.EPOLLET})
	p.engine.OnClose(p.onClose)
	p.engine.OnRead(p.onRead)
	p.engine.OnWrittenSize(p.onWritten)
	if err = p.engine.Start(); err == nil {
		_, err = p.engine.AddConn(w.out)
	}
	if err != nil {
		w.close()
		return nil, &Error{Operation: "new", Kind: KindStart, Detail: err.Error()}
	}
	return p, nil
}

// Add lets the loop take over a connection. Opened is called on the loop before the first event, with
// an error if the connection could not be taken over and is closed.
func (p *Poller) Add(connection net.Conn, opened func(*nbio.Conn, error)) error {
	c, err := nbio.NBConn(connection)
	if err != nil {
		_ = connection.Close()
		return &Error{Operation: "add", Kind: KindAdd, Detail: err.Error()}
	}
	n := newcomer{connection: c, opened: opened}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		_ = c.Close()
		return &Error{Operation: "add", Kind: KindClosed, Detail: "the poller has been stopped"}
	}
	if len(p.covered) > 0 {
		p.waiting = append(p.waiting, n)
		return nil
	}
	p.covered = append(p.covered, n)
	p.waker.wake()
	return nil
}

// takeOver registers the connections that came before the wake-up. It runs on the loop.
func (p *Poller) takeOver() {
	p.mu.Lock()
	ready := p.covered
	p.covered, p.waiting = p.waiting, nil
	if len(p.covered) > 0 {
		p.waker.wake()
	}
	p.mu.Unlock()
	for _, n := range ready {
		if _, err := p.engine.AddConn(n.connection); err != nil {
			n.opened(nil, &Error{Operation: "add", Kind: KindAdd, Detail: err.Error()})
			continue
		}
		n.opened(n.connection, nil)
	}
}

func (p *Poller) onRead(c *nbio.Conn) {
	if p.waker.owns(c) {
		p.waker.clear()
		p.takeOver()
		return
	}
	p.config.OnRead(c)
}

func (p *Poller) onClose(c *nbio.Conn, err error) {
	if !p.waker.owns(c) {
		p.config.OnClose(c, err)
	}
}

func (p *Poller) onWritten(c *nbio.Conn, _ []byte, count int) { p.config.OnWritten(c, count) }

// Async calls a function on a goroutine of its own.
func (p *Poller) Async(call func()) { p.engine.Async(call) }

// Stop ends the loop and all connections. It waits for the last callback of each.
func (p *Poller) Stop() {
	p.mu.Lock()
	p.stopped = true
	left := append(p.covered, p.waiting...)
	p.covered, p.waiting = nil, nil
	p.mu.Unlock()
	for _, n := range left {
		_ = n.connection.Close()
	}
	p.engine.Stop()
	p.waker.close()
}
