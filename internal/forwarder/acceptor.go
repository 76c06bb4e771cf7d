package forwarder

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// acceptRetryDelay is the pause after a failed accept, for instance because no file descriptor is left.
const acceptRetryDelay = 50 * time.Millisecond

// acceptor accepts the connections of one listener until the listener is closed.
type acceptor struct {
	forwarder *Forwarder
	listener  net.Listener
	// fromPeers is set if the connections come from other nodes.
	fromPeers bool
	// done is closed when run returns.
	done chan struct{}
}

func (a *acceptor) run() {
	defer close(a.done)
	for {
		c, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			err = a.add(c)
		}
		if err != nil {
			a.logFailure(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// add passes an accepted connection to the poller.
func (a *acceptor) add(c net.Conn) error {
	f := a.forwarder
	f.unregistered.Add(1)
	err := f.poller.Add(c, a.opened)
	if err != nil {
		f.unregistered.Add(-1)
	}
	return err
}

// close closes the listener. Connections that wait to be accepted are accepted before: the kernel would reset them, and on
// a busy node their callers may have sent requests long ago.
func (a *acceptor) close() {
	if err := a.acceptWaiting(); err != nil {
		a.logFailure(err)
	}
	_ = a.listener.Close()
}

// acceptWaiting accepts connections until none waits.
func (a *acceptor) acceptWaiting() error {
	l, ok := a.listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		for err == nil {
			var accepted int
			accepted, _, err = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == nil {
				err = a.addSocket(accepted)
			}
		}
	})
	if errors.Is(err, unix.EAGAIN) || errors.Is(controlErr, net.ErrClosed) {
		return nil
	}
	return errors.Join(err, controlErr)
}

// addSocket passes the socket of an accepted connection to the poller.
func (a *acceptor) addSocket(socket int) error {
	file := os.NewFile(uintptr(socket), "accepted")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return err
	}
	return a.add(c)
}

// opened is called by the poller once a connection is registered.
func (a *acceptor) opened(c *nbio.Conn, err error) {
	f := a.forwarder
	defer f.unregistered.Add(-1)
	if err != nil {
		a.logFailure(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &serverConn{forwarder: f, fromPeer: a.fromPeers, openedAt: time.Now()}
	s.conn = newConn(f, c, s, false)
	f.serverConns[s] = struct{}{}
}

func (a *acceptor) logFailure(err error) {
	a.forwarder.common.Logger.Warn("connection not accepted", "address", a.listener.Addr(), "reason", err)
}
