package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	// highWaterBytes is the unsent output, in bytes, above which the source of a body is paused until the output has
	// fallen to lowWaterBytes.
	highWaterBytes = 256 << 10
	lowWaterBytes  = 64 << 10
	// tcpCloseWait is the kernel's TCP_CLOSE_WAIT state: the peer has sent its FIN.
	tcpCloseWait = 8
	// callerUserTimeoutMs limits how long bytes sent on accepted connections may stay unacknowledged. It exceeds
	// serverUserTimeoutMs, the limit for connections to nodes and upstreams, because a slow caller may keep its
	// receive window closed for a while.
	callerUserTimeoutMs = 5000
	serverUserTimeoutMs = 1000
)

// connHandler handles the messages and state changes of a connection. Its methods are called with Forwarder.mu held.
type connHandler interface {
	messageHandler
	// onClose is called once, after the last message. The error is nil if that message was complete.
	onClose(err error)
	// onMalformed is called when the input can't be parsed. It reports whether the connection stays open for what is before the
	// error, without further input; else it is closed.
	onMalformed(err error) bool
	// onDrained is called when unsent output has fallen to lowWaterBytes after exceeding highWaterBytes.
	onDrained()
}

// conn is one connection with its parser. Forwarder.mu guards all fields except the atomic ones.
type conn struct {
	forwarder *Forwarder
	socket    *nbio.Conn
	reader    *reader
	handler   connHandler
	closed    bool
	// local is set if the peer is the upstream on this VM, whose traffic does not use the VM's network link.
	local bool
	// peerClosed is set once the peer has closed the connection without a reset.
	peerClosed bool
	// paused is set while nothing is read, so that TCP flow control stops the peer.
	paused bool
	// readDeferred is set if a read event arrived during a pause.
	readDeferred bool
	// pending is the number of output bytes that the kernel has not accepted yet.
	pending atomic.Int64
	// drainPending is set if pending has exceeded highWaterBytes and onDrained has not been called since.
	drainPending atomic.Bool
	// closing is set if the connection is to be closed once pending is zero.
	closing atomic.Bool
	// headSince is when the first part of the head being read arrived; zero if none is.
	headSince time.Time
	// discarding is set if further input is read and discarded.
	discarding bool
	// lingering is set once the last response has been written. lingerTimer then bounds the wait for the peer to close.
	lingering   bool
	lingerTimer *time.Timer
	// resetOnClose is set while a response is sent whose end is the end of the connection. Every close before that, also
	// by the end of the process, then resets the connection, so that the response does not look complete.
	resetOnClose bool
}

// newConn wraps a socket that the poller has registered. With client set, its input is parsed as responses.
func newConn(f *Forwarder, c *nbio.Conn, h connHandler, client bool) *conn {
	n := &conn{forwarder: f, socket: c, handler: h, reader: newReader(h, client)}
	c.SetSession(n)
	_ = c.SetNoDelay(true)
	if client {
		n.setUserTimeout(serverUserTimeoutMs)
	} else {
		n.setUserTimeout(callerUserTimeoutMs)
	}
	return n
}

// setUserTimeout makes the kernel close the connection if sent bytes stay unacknowledged for this long.
func (n *conn) setUserTimeout(milliseconds int) {
	raw, err := n.socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// write sends or queues bytes. It returns false if the connection is closed, also by the write itself.
func (n *conn) write(b []byte) bool {
	if n.closed {
		return false
	}
	n.pending.Add(int64(len(b)))
	if !n.local {
		n.forwarder.link.RecordSent(len(b), time.Now())
	}
	if _, err := n.socket.Write(b); err != nil {
		n.closeWith(err)
		return false
	}
	if n.pending.Load() > highWaterBytes {
		n.drainPending.Store(true)
	}
	return true
}

// full reports whether the source of the output should pause until onDrained.
func (n *conn) full() bool { return n.pending.Load() > highWaterBytes }

// written is called by the poller for output that the kernel has accepted. Forwarder.mu may or may not be held, so work
// that needs it runs on another goroutine.
func (n *conn) written(count int) {
	left := n.pending.Add(-int64(count))
	if left <= lowWaterBytes && n.drainPending.CompareAndSwap(true, false) {
		n.forwarder.poller.Async(n.lockAndNotifyDrained)
	}
	if left == 0 && n.closing.Load() {
		n.forwarder.poller.Async(n.lockAndClose)
	}
}

func (n *conn) lockAndClose() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	n.closeDrained()
}

// closeWhenDrained closes the connection once all output is sent; only then is the handler notified.
func (n *conn) closeWhenDrained() {
	n.closing.Store(true)
	if n.pending.Load() == 0 {
		n.closeDrained()
	}
}

// closeDrained closes the connection normally after all of its output has been sent.
func (n *conn) closeDrained() {
	n.setResetOnClose(false)
	if n.lingering {
		n.endOutput()
		return
	}
	n.closeWith(nil)
}

// setResetOnClose sets whether closing the connection resets it.
func (n *conn) setResetOnClose(reset bool) {
	if n.closed || n.resetOnClose == reset {
		return
	}
	n.resetOnClose = reset
	linger := int32(0)
	if reset {
		linger = 1
	}
	if err := n.socket.SetLinger(linger, 0); err != nil {
		n.forwarder.common.Logger.Warn("close mode of a connection not set", "reset", reset, "error", err)
	}
}

func (n *conn) lockAndNotifyDrained() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	if !n.closed {
		n.handler.onDrained()
	}
}

func (n *conn) pause() { n.paused = !n.discarding }

// discardInput has all further input read and discarded.
func (n *conn) discardInput() {
	n.discarding = true
	n.resume()
}

// resume ends a pause. Since events are edge-triggered, input that arrived during the pause raises no new event and is
// read here, on another goroutine.
func (n *conn) resume() {
	if !n.paused || n.closed {
		return
	}
	n.paused = false
	if n.readDeferred {
		n.forwarder.poller.Async(n.readDeferredInput)
	}
}

func (n *conn) readDeferredInput() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	n.read()
}

// read is called when the connection has become readable. It reads until the kernel has no more input or the connection
// is paused.
func (n *conn) read() {
	buffer := n.forwarder.readBuffer
	n.readDeferred = false
	for !n.closed {
		if n.paused && !n.peerSentFIN() {
			n.readDeferred = true
			return
		}
		count, err := n.socket.Read(buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			return
		}
		if err != nil || count <= 0 {
			n.peerClosed = err == nil || errors.Is(err, io.EOF)
			n.closeWith(err)
			return
		}
		if n.discarding {
			continue
		}
		if err := n.reader.feed(buffer[:count]); err != nil && !n.handler.onMalformed(err) {
			n.closeWith(err)
			return
		}
		n.updateHeadSince()
	}
}

func (n *conn) updateHeadSince() {
	switch {
	case n.reader.message == nil || n.reader.inBody:
		n.headSince = time.Time{}
	case n.headSince.IsZero():
		n.headSince = time.Now()
	}
}

// peerSentFIN reports whether the peer has closed its sending side. The poller closes the connection after this event,
// so that buffered input must be read now, also during a pause.
func (n *conn) peerSentFIN() bool {
	raw, err := n.socket.SyscallConn()
	if err != nil {
		return false
	}
	finished := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		finished = err == nil && info.State == tcpCloseWait
	})
	return finished
}

// hasInput reports whether the connection is closed, or has unread bytes, an end of input or an error pending.
func (n *conn) hasInput() bool {
	if n.closed {
		return true
	}
	raw, err := n.socket.SyscallConn()
	if err != nil {
		return true
	}
	var peeked error
	_ = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return !errors.Is(peeked, unix.EAGAIN)
}

// closeWith closes the connection and notifies its handler. Further calls do nothing.
func (n *conn) closeWith(err error) {
	if n.closed {
		return
	}
	n.closed = true
	if n.lingerTimer != nil {
		n.lingerTimer.Stop()
	}
	_ = n.socket.Close()
	if err == nil {
		err = &Error{Operation: "read", Kind: KindCut, Detail: "connection closed"}
	}
	if n.reader.finish(n.peerClosed) {
		n.handler.onClose(nil)
		return
	}
	n.handler.onClose(err)
}

// close closes the connection without notifying its handler.
func (n *conn) close() {
	if !n.closed {
		n.closed = true
		_ = n.socket.Close()
	}
}
