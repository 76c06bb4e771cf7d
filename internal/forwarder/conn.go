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
	// highWater is the unsent output at which the source of a body is paused; lowWater ends the pause.
	highWater = 256 << 10
	lowWater  = 64 << 10
	// tcpCloseWait is the state of a connection whose peer has sent everything.
	tcpCloseWait = 8
	// callerUserTimeout and serverUserTimeout are how long bytes sent to callers, and to nodes and upstreams,
	// may stay unacknowledged, in milliseconds. A slow caller may hold its answer back for a while.
	callerUserTimeout = 5000
	serverUserTimeout = 1000
)

// owner is the part that reads a connection's messages.
type owner interface {
	messageHandler
	// onClose is called once, after the last message.
	onClose(err error)
	// onMalformed is called before the connection ends because its input can't be used.
	onMalformed(err error)
	// onDrained is called when the output has fallen below lowWater after it was above highWater.
	onDrained()
}

// conn is one connection with its parser. The forwarder's lock guards it but for pending and above.
type conn struct {
	forwarder *Forwarder
	c         *nbio.Conn
	reader    *reader
	owner     owner
	closed    bool
	// local tells that the other end is the upstream on the same VM, so that the link carries nothing of it.
	local bool
	// endedInOrder tells that the peer has closed the connection without a reset.
	endedInOrder bool
	// paused tells that nothing is read, so that the peer is held back.
	paused bool
	// unread tells that input may have come during a pause.
	unread bool
	// pending is the output not yet taken by the kernel, in bytes.
	pending atomic.Int64
	// above tells that pending was above highWater and onDrained is due.
	above atomic.Bool
	// lingering tells that the connection ends once pending is zero.
	lingering atomic.Bool
}

func newConn(f *Forwarder, c *nbio.Conn, o owner, client bool) *conn {
	n := &conn{forwarder: f, c: c, owner: o, reader: newReader(o, client)}
	c.SetSession(n)
	_ = c.SetNoDelay(true)
	if client {
		n.setUserTimeout(serverUserTimeout)
	} else {
		n.setUserTimeout(callerUserTimeout)
	}
	return n
}

// setUserTimeout makes the kernel end a connection whose peer no longer acknowledges.
func (n *conn) setUserTimeout(milliseconds int) {
	raw, err := n.c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
}

// write sends or queues bytes. It reports false if the connection is closed.
func (n *conn) write(b []byte) bool {
	if n.closed {
		return false
	}
	n.pending.Add(int64(len(b)))
	if !n.local {
		n.forwarder.link.Sent(len(b), time.Now())
	}
	if _, err := n.c.Write(b); err != nil {
		n.closeWith(err)
		return false
	}
	if n.pending.Load() > highWater {
		n.above.Store(true)
	}
	return true
}

// full tells that the source of the output should pause until onDrained.
func (n *conn) full() bool { return n.pending.Load() > highWater }

// written is called by the poller, with or without the forwarder's lock.
func (n *conn) written(count int) {
	left := n.pending.Add(-int64(count))
	if left <= lowWater && n.above.CompareAndSwap(true, false) {
		n.forwarder.poller.Async(n.drained)
	}
	if left == 0 && n.lingering.Load() {
		n.forwarder.poller.Async(n.closeLocked)
	}
}

func (n *conn) closeLocked() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	n.closeWith(nil)
}

// closeWhenSent ends the connection after the output, without telling its owner before that.
func (n *conn) closeWhenSent() {
	n.lingering.Store(true)
	if n.pending.Load() == 0 {
		n.closeWith(nil)
	}
}

func (n *conn) drained() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	if !n.closed {
		n.owner.onDrained()
	}
}

func (n *conn) pause() { n.paused = true }

// resume goes on reading after a pause. Events are edge-triggered, so that input which came during
// the pause is read now.
func (n *conn) resume() {
	if !n.paused || n.closed {
		return
	}
	n.paused = false
	if n.unread {
		n.forwarder.poller.Async(n.readAgain)
	}
}

func (n *conn) readAgain() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	n.read()
}

// read is called when the connection has become readable. It reads until nothing is left or a pause.
func (n *conn) read() {
	buffer := n.forwarder.buffer
	n.unread = false
	for !n.closed {
		if n.paused && !n.peerFinished() {
			n.unread = true
			return
		}
		count, err := n.c.Read(buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			return
		}
		if err != nil || count <= 0 {
			n.endedInOrder = err == nil || errors.Is(err, io.EOF)
			n.closeWith(err)
			return
		}
		if err := n.reader.feed(buffer[:count]); err != nil {
			n.owner.onMalformed(err)
			n.closeWith(err)
			return
		}
	}
}

// peerFinished tells that the peer has sent everything: the poller closes the connection after
// this event, so that what the kernel still holds must be read now.
func (n *conn) peerFinished() bool {
	raw, err := n.c.SyscallConn()
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

// hasInput tells whether the kernel holds bytes, or the peer's end, that have not been read.
func (n *conn) hasInput() bool {
	if n.closed {
		return true
	}
	raw, err := n.c.SyscallConn()
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

// closeWith ends the connection and tells its owner, once.
func (n *conn) closeWith(err error) {
	if n.closed {
		return
	}
	n.closed = true
	_ = n.c.Close()
	if err == nil {
		err = &Error{Operation: "read", Kind: KindCut, Detail: "connection closed by peer"}
	}
	if n.reader.finish(n.endedInOrder) {
		n.owner.onClose(nil)
		return
	}
	n.owner.onClose(err)
}

// close ends the connection without telling its owner.
func (n *conn) close() {
	if !n.closed {
		n.closed = true
		_ = n.c.Close()
	}
}
