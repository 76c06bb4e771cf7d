package forwarder

import (
	"time"

	"golang.org/x/sys/unix"
)

// lingerTimeout bounds the time between the end of a connection's output and its close.
const lingerTimeout = time.Second

// linger ends a connection after its last response, once all output has been sent. If it were closed while input is unread,
// the kernel would reset it and drop what the peer has not received yet. Input is therefore read and discarded until the
// peer closes, or for lingerTimeout after the end of the output.
func (n *conn) linger() {
	if n.closed || n.lingering {
		return
	}
	n.lingering = true
	n.discardInput()
	n.closeWhenDrained()
}

// endOutput tells the peer that nothing follows, and bounds the wait for it to close.
func (n *conn) endOutput() {
	if n.closed || n.lingerTimer != nil {
		return
	}
	raw, err := n.socket.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) { err = unix.Shutdown(int(fd), unix.SHUT_WR) })
		if err == nil {
			err = controlErr
		}
	}
	if err != nil {
		n.closeWith(err)
		return
	}
	n.lingerTimer = time.AfterFunc(lingerTimeout, n.lockAndEndLinger)
}

func (n *conn) lockAndEndLinger() {
	n.forwarder.mu.Lock()
	defer n.forwarder.mu.Unlock()
	n.closeWith(nil)
}
