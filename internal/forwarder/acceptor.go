package forwarder

import (
	"errors"
	"net"
	"time"

	"github.com/lesismal/nbio"
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
			err = a.forwarder.poller.Add(c, a.opened)
		}
		if err != nil {
			a.logFailure(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// opened is called by the poller once a connection is registered.
func (a *acceptor) opened(c *nbio.Conn, err error) {
	if err != nil {
		a.logFailure(err)
		return
	}
	f := a.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &serverConn{forwarder: f, fromPeer: a.fromPeers, openedAt: time.Now()}
	s.conn = newConn(f, c, s, false)
	f.serverConns[s] = struct{}{}
}

func (a *acceptor) logFailure(err error) {
	a.forwarder.common.Logger.Warn("connection not accepted", "address", a.listener.Addr(), "reason", err)
}
